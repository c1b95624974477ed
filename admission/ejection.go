package admission

import (
	"slices"
	"time"
)

// ejection leaves an upstream out because of its failures, for longer each time.
type ejection struct {
	until   time.Time
	strikes uint
	// returned is false while the end of the ejection has not been handled.
	returned bool
}

func (e *ejection) active(now time.Time) bool {
	return now.Before(e.until)
}

func (e *ejection) start(now time.Time) {
	e.until = now.Add(min(ejectBase<<min(e.strikes, 16), ejectMax))
	e.strikes++
	e.returned = false
}

// considerEjection ejects u if its failures justify it and enough others remain.
func (s *Scheduler) considerEjection(u *upstream, now time.Time) {
	if u.eject.active(now) || !u.usable() || !u.estimate.looksBroken() {
		return
	}
	if s.ejected(now)+1 > s.usable/ejectShare {
		return
	}
	u.eject.start(now)
}

func (s *Scheduler) ejected(now time.Time) int {
	n := 0
	for _, u := range s.order {
		if u.usable() && u.eject.active(now) {
			n++
		}
	}
	return n
}

// endEjections returns upstreams whose time is over, and those that exceed the permitted share since others left. A
// returning upstream starts at the cold limit.
func (s *Scheduler) endEjections(now time.Time) {
	var active []*upstream
	for _, u := range s.order {
		switch {
		case u.eject.strikes == 0 || u.eject.returned:
		case u.eject.active(now) && u.usable():
			active = append(active, u)
		case !u.eject.active(now):
			s.readmit(u, now)
		}
	}
	excess := len(active) - s.usable/ejectShare
	if excess <= 0 {
		return
	}
	slices.SortFunc(active, func(a, b *upstream) int { return a.eject.until.Compare(b.eject.until) })
	for _, u := range active[:excess] {
		u.eject.until = now
		s.readmit(u, now)
	}
}

func (s *Scheduler) readmit(u *upstream, now time.Time) {
	u.eject.returned = true
	u.estimate = newEstimate(now)
	s.drop(u)
}
