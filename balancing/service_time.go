package balancing

import "time"

const (
	// initialServiceTime is the assumed service time of a route without a latency target before the first response.
	initialServiceTime = 100 * time.Millisecond
	// initialTargetShare is the share of a route's latency target that is assumed to be its service time before the
	// first response. Operators set targets to a small multiple of the usual duration.
	initialTargetShare = 0.4
	// enoughSamples is the number of responses after which the mean service time determines the hedge delay. Until
	// then, hedges start after initialHedgeShare of the target.
	enoughSamples     = 8
	initialHedgeShare = 0.5
	// serviceTimeGain is the weight of a new sample in the moving averages.
	serviceTimeGain = 0.05
	// maxOutlier limits a sample to this multiple of the mean, so that one outlier has a limited effect.
	maxOutlier = 4
	// overdueFactor is the multiple of the mean service time after which a request counts as overdue. At normal speed,
	// 1 in 10,000 requests takes longer if service times vary by 30 %.
	overdueFactor = 3
)

// serviceTime is the duration of the requests of one route on upstreams at normal speed.
type serviceTime struct {
	// mean is the moving average, and deviation the mean absolute deviation from it.
	mean, deviation time.Duration
	samples         int
}

// newServiceTime returns the assumption for a route with the given latency target. Zero means that it has none.
func newServiceTime(target time.Duration) *serviceTime {
	mean := initialServiceTime
	if target > 0 {
		mean = time.Duration(initialTargetShare * float64(target))
	}
	return &serviceTime{mean: mean, deviation: mean / 4}
}

// record includes the duration of a request.
func (t *serviceTime) record(duration time.Duration) {
	t.samples++
	sample := float64(duration)
	// The first samples have equal weight: a gateway of a large deployment gets few responses, and would otherwise
	// hedge too early for a long time.
	gain := max(serviceTimeGain, 1/float64(t.samples))
	if t.samples > 1 {
		sample = min(sample, maxOutlier*float64(t.mean))
	}
	difference := sample - float64(t.mean)
	t.mean += time.Duration(gain * difference)
	if difference < 0 {
		difference = -difference
	}
	t.deviation += time.Duration(gain * (difference - float64(t.deviation)))
}

// hedgeDelay returns the time after which a request without a response is hedged. Nearly all responses of upstreams at
// normal speed arrive earlier, and a hedge sent at that time can still get a response within target.
func (t *serviceTime) hedgeDelay(target time.Duration) time.Duration {
	if t.samples < enoughSamples && target > 0 {
		return time.Duration(initialHedgeShare * float64(target))
	}
	normal := t.mean + 3*t.deviation
	if latest := target - t.mean - t.deviation; target > 0 && latest > t.mean+t.deviation {
		return min(normal, latest)
	}
	return normal
}

// overdueDelay returns the time within which an upstream at normal speed should have responded to any request with this
// target. It is at least target, because there may be too few samples yet.
func (t *serviceTime) overdueDelay(target time.Duration) time.Duration {
	return max(overdueFactor*t.mean, target)
}
