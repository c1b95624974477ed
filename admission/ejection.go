package admission

import (
	"slices"
	"time"
)

// ejection temporarily excludes an upstream from selection because of its failures. Each further ejection lasts twice as
// long, up to ejectMaxDuration.
type ejection struct {
	until time.Time
	// count is the number of ejections since the upstream last completed a request while it was warm.
	count uint
	// ended is set once the upstream has been readmitted.
	ended bool
}

func (e *ejection) active(now time.Time) bool {
	return now.Before(e.until)
}

func (e *ejection) start(now time.Time) {
	e.until = now.Add(min(ejectBaseDuration<<min(e.count, 16), ejectMaxDuration))
	e.count++
	e.ended = false
}

// ejectIfFailing ejects u if its failures justify it and the number of ejected upstreams stays within its limit.
func (s *Scheduler) ejectIfFailing(u *upstream, now time.Time) {
	if u.ejection.active(now) || !u.usable() || !u.estimate.justifiesEjection() {
		return
	}
	if s.ejectedCount(now)+1 > s.usable/maxEjectedDivisor {
		return
	}
	u.ejection.start(now)
}

func (s *Scheduler) ejectedCount(now time.Time) int {
	n := 0
	for _, u := range s.upstreamList {
		if u.usable() && u.ejection.active(now) {
			n++
		}
	}
	return n
}

// endEjections readmits upstreams whose ejection has expired. If more upstreams are ejected than permitted, because fewer
// are usable than before, it also readmits the excess, beginning with the ejection that ends first.
func (s *Scheduler) endEjections(now time.Time) {
	var active []*upstream
	for _, u := range s.upstreamList {
		switch {
		case u.ejection.count == 0 || u.ejection.ended:
		case u.ejection.active(now) && u.usable():
			active = append(active, u)
		case !u.ejection.active(now):
			s.readmit(u, now)
		}
	}
	excess := len(active) - s.usable/maxEjectedDivisor
	if excess <= 0 {
		return
	}
	slices.SortFunc(active, func(a, b *upstream) int { return a.ejection.until.Compare(b.ejection.until) })
	for _, u := range active[:excess] {
		u.ejection.until = now
		s.readmit(u, now)
	}
}

// readmit ends the ejection of u and resets its limit to the cold limit.
func (s *Scheduler) readmit(u *upstream, now time.Time) {
	u.ejection.ended = true
	u.estimate = newEstimate(now)
	s.resetRamp(u)
}
