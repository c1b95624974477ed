package quota

import (
	"math"
	"time"
)

// demand is an average of events that decays with demandTime.
type demand struct {
	sum float64
	at  time.Duration
}

func (d *demand) add(n float64, now time.Duration) {
	d.sum = d.value(now) + n
	d.at = now
}

// value returns the decayed number of events.
func (d *demand) value(now time.Duration) float64 {
	return d.sum * math.Exp(-(now-d.at).Seconds()/demandTime.Seconds())
}

// rate returns the events per second.
func (d *demand) rate(now time.Duration) float64 { return d.value(now) / demandTime.Seconds() }
