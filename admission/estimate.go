package admission

import (
	"math"
	"time"
)

// classes holds the usual latency of each class of the service over all upstreams, in seconds.
type classes map[string]float64

// slowness returns a latency relative to the usual one of the class, and 1 for a class without samples.
func (c classes) slowness(class string, latency time.Duration) float64 {
	usual := c[class]
	if usual <= 0 {
		return 1
	}
	return min(latency.Seconds()/usual, maxSlowness)
}

// observe adds a sample. One above coldSlowness counts as that, so that a straggler moves the yardstick little.
func (c classes) observe(class string, latency time.Duration) {
	sample := max(latency.Seconds(), time.Microsecond.Seconds())
	usual, ok := c[class]
	if !ok {
		c[class] = sample
		return
	}
	c[class] = usual + classWeight*(min(sample, coldSlowness*usual)-usual)
}

// estimate predicts how one upstream compares with the others.
type estimate struct {
	// slowness is the smoothed latency relative to the usual one; 1 is an average upstream.
	slowness float64
	// failRate is the smoothed share of failures.
	failRate float64
	// at is when a sample was last added.
	at time.Time
	// samples counts the results, failures and slow the present run of each.
	samples, failures, slow int
}

func newEstimate(now time.Time) estimate {
	return estimate{slowness: 1, at: now}
}

// forget moves the estimate towards an average upstream for the time without samples.
func (e *estimate) forget(now time.Time) {
	slowness, failRate := e.current(now)
	e.slowness, e.failRate, e.at = slowness, failRate, now
}

// current returns the estimate as of now.
func (e *estimate) current(now time.Time) (slowness, failRate float64) {
	idle := now.Sub(e.at)
	if idle < forgetHalfLife/100 {
		return e.slowness, e.failRate
	}
	left := math.Exp2(-idle.Seconds() / forgetHalfLife.Seconds())
	return 1 + (e.slowness-1)*left, e.failRate * left
}

// latency adds a completed response.
func (e *estimate) latency(slowness float64, now time.Time) {
	e.forget(now)
	e.slowness += upstreamWeight * (slowness - e.slowness)
	if slowness >= coldSlowness {
		e.slow++
	} else {
		e.slow = 0
	}
}

// atLeast adds a response that was given up on after some time: it can only make the upstream look slower.
func (e *estimate) atLeast(slowness float64, now time.Time) {
	if current, _ := e.current(now); slowness > current {
		e.latency(slowness, now)
	}
}

// result adds a success or a failure.
func (e *estimate) result(failed bool, now time.Time) {
	e.forget(now)
	e.samples++
	sample := 0.0
	if failed {
		sample = 1
		e.failures++
	} else {
		e.failures = 0
	}
	e.failRate += upstreamWeight * (sample - e.failRate)
}

// looksCold tells whether latency or failures suggest a cold start.
func (e *estimate) looksCold() bool {
	return e.failures >= coldFailures || e.slow >= coldSlowResponses
}

// looksBroken tells whether the failures justify an ejection.
func (e *estimate) looksBroken() bool {
	return e.failures >= ejectFailures || (e.samples >= ejectMinSamples && e.failRate >= ejectFailRate)
}
