package admission

import (
	"slices"
	"time"
)

// availableSlots reports whether any upstream has a free slot and, if none has, whether any can accept a request under the
// over-allowance.
func (s *Scheduler) availableSlots(now time.Time) (free, overAllowance bool) {
	if s.cfg.Policy != PolicyOwner {
		return s.usable > 0, false
	}
	for _, u := range s.upstreamList {
		if u.freeSlots(now) > 0 {
			return true, false
		}
		overAllowance = overAllowance || (s.cfg.OverAllowance > 0 && u.freeOverAllowance(s.cfg.OverAllowance, now) > 0)
	}
	return false, overAllowance
}

// choose selects the upstream for r according to the policy. It returns nil if no upstream can accept r now.
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
	if u := s.lowestCost(r, now, func(u *upstream) bool { return u.freeSlots(now) > 0 }); u != nil {
		return u
	}
	if free, _ := s.availableSlots(now); free || !r.Idempotent || s.cfg.OverAllowance <= 0 {
		return nil
	}
	return s.lowestCost(r, now, func(u *upstream) bool { return u.freeOverAllowance(s.cfg.OverAllowance, now) > 0 })
}

// lowestCost returns the upstream with the lowest cost among those that accept permits and r does not exclude, or nil if
// there is none.
func (s *Scheduler) lowestCost(r *Request, now time.Time, accept func(*upstream) bool) *upstream {
	var best *upstream
	bestCost := 0.0
	s.rotation++
	for i := range s.upstreamList {
		u := s.upstreamList[(s.rotation+i)%len(s.upstreamList)]
		if !accept(u) || slices.Contains(r.Exclude, u.info.ID) {
			continue
		}
		if c := u.cost(s.classLatencies, now); best == nil || c < bestCost {
			best, bestCost = u, c
		}
	}
	return best
}

// chooseRandom returns a random usable upstream that r does not exclude, or nil if there is none.
func (s *Scheduler) chooseRandom(r *Request) *upstream {
	n := 0
	for _, u := range s.upstreamList {
		if u.usable() && !slices.Contains(r.Exclude, u.info.ID) {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	pick := s.cfg.Rand(n)
	for _, u := range s.upstreamList {
		if u.usable() && !slices.Contains(r.Exclude, u.info.ID) {
			if pick == 0 {
				return u
			}
			pick--
		}
	}
	return nil
}
