package hedging

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// generationTime is the time after which a new generation of response times begins. Quantiles are taken over the current and
	// the previous one, so that they follow the load within a minute.
	generationTime = 30 * time.Second
	// maxResponseMillis bounds recorded response times; longer ones count as this one.
	maxResponseMillis = 60_000
	// significantDigits gives quantiles with an error below 1 % in about 10 KB for each generation.
	significantDigits = 2
	// enoughSamples is the number of response times from which quantiles are used. With fewer, one slow response would be the
	// 95 % quantile.
	enoughSamples = 20
)

// distribution holds the recent response times of the first attempts of one route. An attempt that lost to a hedge counts with
// the time until it was cancelled, so that hedges do not make the distribution look faster than it is.
type distribution struct {
	current, previous *hdrhistogram.Histogram
	startedAt         time.Time
}

func newDistribution(now time.Time) *distribution {
	empty := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxResponseMillis, significantDigits) }
	return &distribution{current: empty(), previous: empty(), startedAt: now}
}

func (d *distribution) record(duration time.Duration, now time.Time) {
	d.advance(now)
	// The value is within the range of the histogram, so that recording cannot fail.
	_ = d.current.RecordValue(min(max(duration.Milliseconds(), 1), maxResponseMillis))
}

func (d *distribution) advance(now time.Time) {
	age := now.Sub(d.startedAt)
	if age < generationTime {
		return
	}
	d.previous, d.current = d.current, d.previous
	d.current.Reset()
	if age >= 2*generationTime {
		d.previous.Reset()
	}
	d.startedAt = now
}

// quantile returns the response time that the given share of the attempts do not exceed. It returns false while there are too few.
func (d *distribution) quantile(share float64, now time.Time) (time.Duration, bool) {
	d.advance(now)
	older, newer := d.previous.TotalCount(), d.current.TotalCount()
	if older+newer < enoughSamples {
		return 0, false
	}
	// The weighted mean of both generations' quantiles is close to that of all values, without a third histogram to merge into.
	sum := float64(d.previous.ValueAtQuantile(100*share))*float64(older) + float64(d.current.ValueAtQuantile(100*share))*float64(newer)
	return time.Duration(sum / float64(older+newer) * float64(time.Millisecond)), true
}
