package admission

import (
	"math"
	"time"
)

// classLatencies holds the usual latency of each class of the service in seconds, a moving average over all upstreams.
type classLatencies map[string]float64

// ratio returns the ratio of latency to the usual latency of the class, at most maxLatencyRatio. It returns 1 for a class
// without samples.
func (c classLatencies) ratio(class string, latency time.Duration) float64 {
	usual := c[class]
	if usual <= 0 {
		return 1
	}
	return min(latency.Seconds()/usual, maxLatencyRatio)
}

// observe adds a sample to the average of the class. Samples are capped at slowLatencyRatio times the average, so that a
// straggler has little effect on it.
func (c classLatencies) observe(class string, latency time.Duration) {
	sample := max(latency.Seconds(), time.Microsecond.Seconds())
	usual, ok := c[class]
	if !ok {
		c[class] = sample
		return
	}
	c[class] = usual + classSampleWeight*(min(sample, slowLatencyRatio*usual)-usual)
}

// estimate describes the latency and failures of one upstream compared with those of the others.
type estimate struct {
	// latencyRatio is the smoothed ratio of latencies to the usual ones of their classes; an average upstream has 1.
	latencyRatio float64
	// failureRate is the smoothed failure rate.
	failureRate float64
	// updatedAt is the time of the last update.
	updatedAt time.Time
	// samples counts the results, consecutiveFailures the failures since the last success, and consecutiveSlow the slow
	// responses since the last response that was not slow.
	samples, consecutiveFailures, consecutiveSlow int
}

func newEstimate(now time.Time) estimate {
	return estimate{latencyRatio: 1, updatedAt: now}
}

// decay applies the decay towards an average upstream for the time since the last update.
func (e *estimate) decay(now time.Time) {
	latencyRatio, failureRate := e.current(now)
	e.latencyRatio, e.failureRate, e.updatedAt = latencyRatio, failureRate, now
}

// current returns the decayed averages as of now.
func (e *estimate) current(now time.Time) (latencyRatio, failureRate float64) {
	idle := now.Sub(e.updatedAt)
	if idle < estimateHalfLife/100 {
		return e.latencyRatio, e.failureRate
	}
	left := math.Exp2(-idle.Seconds() / estimateHalfLife.Seconds())
	return 1 + (e.latencyRatio-1)*left, e.failureRate * left
}

// addLatency adds the latency ratio of a response.
func (e *estimate) addLatency(ratio float64, now time.Time) {
	e.decay(now)
	e.latencyRatio += upstreamSampleWeight * (ratio - e.latencyRatio)
	if ratio >= slowLatencyRatio {
		e.consecutiveSlow++
	} else {
		e.consecutiveSlow = 0
	}
}

// addLatencyLowerBound adds the time that a request waited without a response. Since the full latency is unknown, such a
// sample may raise the latency ratio but not lower it.
func (e *estimate) addLatencyLowerBound(ratio float64, now time.Time) {
	if current, _ := e.current(now); ratio > current {
		e.addLatency(ratio, now)
	}
}

// addResult adds the success or failure of a request.
func (e *estimate) addResult(failed bool, now time.Time) {
	e.decay(now)
	e.samples++
	sample := 0.0
	if failed {
		sample = 1
		e.consecutiveFailures++
	} else {
		e.consecutiveFailures = 0
	}
	e.failureRate += upstreamSampleWeight * (sample - e.failureRate)
}

// suggestsColdStart reports whether consecutive failures or slow responses suggest a cold start.
func (e *estimate) suggestsColdStart() bool {
	return e.consecutiveFailures >= coldStartFailures || e.consecutiveSlow >= coldStartSlowResponses
}

// justifiesEjection reports whether the failures justify an ejection.
func (e *estimate) justifiesEjection() bool {
	return e.consecutiveFailures >= ejectConsecutiveFailures || (e.samples >= ejectMinSamples && e.failureRate >= ejectFailureRate)
}
