package cluster

import (
	"sync/atomic"
	"time"
)

const (
	// pauseThreshold is the time without a tick of the maintenance loop after which the process counts as having been paused, by a
	// freeze or by its VM.
	pauseThreshold = 3 * maintenanceInterval
	// staleOrderTime is how long after a pause an order may be one that its operator sent before the pause, and has sent elsewhere
	// since. Operators wait for a second.
	staleOrderTime = time.Second
)

// pauseDetector detects pauses of the process from the ticks of a loop.
type pauseDetector struct {
	tickedAt, pausedUntil atomic.Pointer[time.Time]
}

// tick records that the loop runs.
func (p *pauseDetector) tick(now time.Time) {
	if last := p.tickedAt.Load(); last != nil && now.Sub(*last) > pauseThreshold {
		p.pausedUntil.Store(&now)
	}
	p.tickedAt.Store(&now)
}

// recentlyPaused reports whether the process was paused within staleOrderTime, also if the loop has not run since.
func (p *pauseDetector) recentlyPaused(now time.Time) bool {
	if last := p.tickedAt.Load(); last != nil && now.Sub(*last) > pauseThreshold {
		return true
	}
	until := p.pausedUntil.Load()
	return until != nil && now.Sub(*until) < staleOrderTime
}
