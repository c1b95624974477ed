package admission

import (
	"slices"
	"time"
)

// room tells whether any upstream has a free slot, and whether any may exceed its slots because all are busy.
func (s *Scheduler) room(now time.Time) (free, over bool) {
	if s.cfg.Policy != PolicyOwner {
		return s.usable > 0, false
	}
	for _, u := range s.order {
		if u.free(now) > 0 {
			return true, false
		}
		over = over || (s.cfg.OverAllowance > 0 && u.overFree(s.cfg.OverAllowance, now) > 0)
	}
	return false, over
}

// choose returns the upstream for a request, or nil if none can take it now.
func (s *Scheduler) choose(r *Request, now time.Time) *upstream {
	switch s.cfg.Policy {
	case PolicyRandom:
		return s.chooseRandom(r)
	case PolicyTwoChoices:
		a, b := s.chooseRandom(r), s.chooseRandom(r)
		if a != nil && len(b.inFlight) < len(a.inFlight) {
			return b
		}
		return a
	}
	if u := s.cheapest(r, now, func(u *upstream) bool { return u.free(now) > 0 }); u != nil {
		return u
	}
	if free, _ := s.room(now); free || !r.Idempotent || s.cfg.OverAllowance <= 0 {
		return nil
	}
	return s.cheapest(r, now, func(u *upstream) bool { return u.overFree(s.cfg.OverAllowance, now) > 0 })
}

// cheapest returns the upstream with the best expected completion among those that ok accepts.
func (s *Scheduler) cheapest(r *Request, now time.Time, ok func(*upstream) bool) *upstream {
	var best *upstream
	bestCost := 0.0
	s.rotate++
	for i := range s.order {
		u := s.order[(s.rotate+i)%len(s.order)]
		if !ok(u) || slices.Contains(r.Exclude, u.info.ID) {
			continue
		}
		if c := u.cost(s.classes, now); best == nil || c < bestCost {
			best, bestCost = u, c
		}
	}
	return best
}

// chooseRandom returns any upstream that is not excluded, or nil.
func (s *Scheduler) chooseRandom(r *Request) *upstream {
	n := 0
	for _, u := range s.order {
		if u.usable() && !slices.Contains(r.Exclude, u.info.ID) {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	pick := s.cfg.Rand(n)
	for _, u := range s.order {
		if u.usable() && !slices.Contains(r.Exclude, u.info.ID) {
			if pick == 0 {
				return u
			}
			pick--
		}
	}
	return nil
}
