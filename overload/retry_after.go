package overload

import "time"

const (
	// minRetryAfter is the shortest time after which a client may return: the delay of reports, before which shares do not change.
	minRetryAfter = 250 * time.Millisecond
	// spreadPerPressure is the time over which the returns of refused clients are spread, for each multiple of what is admitted that
	// is demanded. Clients that return evenly over that time add as much again as one multiple.
	spreadPerPressure = 1000 * time.Millisecond
	maxSpread         = 1500 * time.Millisecond
	// returnShare is the share of the time to the deadline within which a client is told to return, so that it can return twice.
	returnShare = 0.4
)

// RetryAfter returns the time after which a refused client may return. roll is a random number in [0, 1). It returns false while
// all requests are admitted.
func (c *Controller) RetryAfter(roll float64, timeLeft time.Duration) (time.Duration, bool) {
	if !c.shares.limited {
		return 0, false
	}
	spread := min(time.Duration(c.pressure*float64(spreadPerPressure)), maxSpread)
	spread = min(spread, time.Duration(returnShare*float64(timeLeft))-minRetryAfter)
	return minRetryAfter + time.Duration(roll*float64(max(0, spread))), true
}
