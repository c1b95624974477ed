package edge

import "time"

const (
	// endMargin is the time before the end of the grace period that is left for writing the last responses and for exiting.
	endMargin = 200 * time.Millisecond
	// maxEndShare limits endMargin to this share of a short grace period.
	maxEndShare = 0.1
)

// StopPlan decides which requests a gateway accepts after the start of a graceful shutdown.
type StopPlan struct {
	// RepeatableUntil is the time until which repeatable requests are accepted even if their deadline is after FinishBy. If
	// such a request is cut, its client can send it again.
	RepeatableUntil time.Time
	// FinishBy is the time at which every request must have its response.
	FinishBy time.Time
	// CloseAt is the time at which the clients' connections are closed.
	CloseAt time.Time
}

// NewStopPlan returns the plan for a shutdown that starts now. The process is killed after grace. For stragglers, clients
// are expected to still send requests because they have not yet learned of the shutdown.
func NewStopPlan(now time.Time, grace, stragglers time.Duration) StopPlan {
	margin := min(endMargin, time.Duration(maxEndShare*float64(grace)))
	return StopPlan{
		RepeatableUntil: now.Add(min(stragglers, grace/2)), FinishBy: now.Add(grace - margin), CloseAt: now.Add(grace - margin/2),
	}
}

// Accepts reports whether to accept a request that arrived at the given time. A request that must not run twice is accepted
// only if it ends before the process does in any case.
func (p *StopPlan) Accepts(repeatable bool, arrived, deadline time.Time) bool {
	return !deadline.After(p.FinishBy) || repeatable && arrived.Before(p.RepeatableUntil)
}
