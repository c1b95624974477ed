package rollout

import (
	"math/bits"
	"time"
)

const (
	// periodLength is the length of the periods within which the versions are compared. Gateways report every 250 ms, and upstreams
	// are slow for half a second at a time.
	periodLength = 500 * time.Millisecond
	// periods is the number of periods that are kept. Older ones count only towards the sum of all.
	periods = 8
	// recentPeriods is the number of periods that are compared on their own, so that a version that turns bad late is found as fast
	// as one that is bad from the start.
	recentPeriods = 4
	// suspicion is the level from which the next step waits for more evidence, and lateSuspicion that from which a version counts as
	// faulty if there is no time to wait: 3.5 standard deviations.
	suspicion, lateSuspicion = 0.5, 0.77
	// minFailedUpstreams is the number of upstreams of the new version that must have failed before failures are blamed on the
	// version. One that crashes is not a fault of its version.
	minFailedUpstreams = 3
)

// comparison compares the two versions for one route.
type comparison struct {
	periods []period // oldest first
	// before holds the sums of the periods that are no longer kept.
	before [measures]score
	// failedUpstreams are those of the new version, as in Outcomes.
	failedUpstreams uint64
}

// period is what gateways reported in a short time.
type period struct {
	start    time.Time
	old, new Outcomes
}

// finding describes the strongest evidence against the new version.
type finding struct {
	// level is that of the score.
	level float64
	cause string
}

// add adds outcomes that were reported now.
func (c *comparison) add(old, new *Outcomes, now time.Time) {
	if len(c.periods) == 0 || now.Sub(c.periods[len(c.periods)-1].start) >= periodLength {
		if len(c.periods) == periods {
			for m := range measures {
				c.before[m].plus(c.scoreOf(0, measure(m)))
			}
			c.periods = append(c.periods[:0], c.periods[1:]...)
		}
		c.periods = append(c.periods, period{start: now})
	}
	last := &c.periods[len(c.periods)-1]
	last.old.add(old)
	last.new.add(new)
	c.failedUpstreams |= new.FailedUpstreams
}

// scoreOf returns the score of one period. If the old version had fewer responses in it than the new one, for example because that
// gets all requests, those of earlier periods are used too.
func (c *comparison) scoreOf(i int, m measure) score {
	newBad, newTotal := m.count(&c.periods[i].new)
	if newTotal == 0 {
		return score{}
	}
	var oldBad, oldTotal float64
	for wanted := max(minBaseline, min(newTotal, enoughBaseline)); i >= 0 && oldTotal < wanted; i-- {
		bad, total := m.count(&c.periods[i].old)
		oldBad, oldTotal = oldBad+bad, oldTotal+total
	}
	var s score
	s.add(oldBad, oldTotal, newBad, newTotal)
	return s
}

// worst returns the strongest evidence against the new version, of which the given number of upstreams get requests.
func (c *comparison) worst(upstreams int) finding {
	var worst finding
	for m := range measure(measures) {
		var sum, recent score
		for i := range c.periods {
			s := c.scoreOf(i, m)
			sum.plus(s)
			if i >= len(c.periods)-recentPeriods {
				recent.plus(s)
			}
		}
		sum.plus(c.before[m])
		level := max(sum.level(m.sensitivity()), recent.level(m.sensitivity()))
		if m == measureFailed && bits.OnesCount64(c.failedUpstreams) < min(minFailedUpstreams, max(1, upstreams)) {
			level = min(level, suspicion)
		}
		if level > worst.level {
			worst = finding{level, m.String()}
		}
	}
	return worst
}
