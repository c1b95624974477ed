package admission

import (
	"slices"
	"time"
)

// Poll returns the dispatches, rejections and probes that are due at now.
func (s *Scheduler) Poll(now time.Time) Actions {
	s.endEjections(now)
	s.expireFormerOwnerRequests(now)
	s.rejectExpired(now)
	s.pollProbes(now)
	s.dispatch(now)
	s.rejectUnqueueable()
	if s.queue.size > 0 {
		s.wakeAt(s.nextDeadline)
		s.wakeAtEjections(now)
	}
	actions := s.actions
	// Swap the buffers, because calls before the next Poll must not overwrite the returned actions.
	s.actions, s.spareActions = s.spareActions.cleared(), actions
	return actions
}

// expireFormerOwnerRequests stops counting the requests of former owners once their deadlines have passed. Otherwise an
// upstream whose health endpoint does not respond would never regain these slots.
func (s *Scheduler) expireFormerOwnerRequests(now time.Time) {
	for _, u := range s.upstreamList {
		switch {
		case u.formerOwnerInFlight == 0 || s.cfg.FormerOwnerTimeout <= 0:
		case now.Before(u.formerOwnerDeadline):
			s.wakeAt(u.formerOwnerDeadline)
		default:
			u.formerOwnerInFlight = 0
		}
	}
}

// dispatch assigns queued requests in order of service until no upstream can accept any of them.
func (s *Scheduler) dispatch(now time.Time) {
	for s.queue.size > 0 {
		free, overAllowance := s.availableSlots(now)
		if !free && !overAllowance {
			return
		}
		var target *upstream
		r := s.queue.firstEligible(func(r *Request) bool {
			if !free && !r.Idempotent {
				return false
			}
			target = s.choose(r, now)
			return target != nil
		})
		if r == nil {
			return
		}
		s.queue.dequeue(r)
		s.assign(r, target, now)
	}
}

func (s *Scheduler) assign(r *Request, u *upstream, now time.Time) {
	s.lastAssignmentID++
	u.inFlight = append(u.inFlight, inFlightRequest{id: s.lastAssignmentID, class: r.Class, start: now})
	a := Assignment{UpstreamID: u.info.ID, Epoch: u.info.Epoch, id: s.lastAssignmentID}
	s.actions.Dispatches = append(s.actions.Dispatches, Dispatch{Request: r, Assignment: a})
}

// rejectExpired rejects queued requests whose deadlines have passed.
func (s *Scheduler) rejectExpired(now time.Time) {
	if s.queue.size == 0 {
		s.nextDeadline = time.Time{}
		return
	}
	if s.nextDeadline.IsZero() || now.Before(s.nextDeadline) {
		return
	}
	next := time.Time{}
	s.rejectWhere(ReasonDeadline, func(r *Request) bool {
		if r.Deadline.IsZero() {
			return false
		}
		if !now.Before(r.Deadline) {
			return true
		}
		if next.IsZero() || r.Deadline.Before(next) {
			next = r.Deadline
		}
		return false
	})
	s.nextDeadline = next
}

// rejectUnqueueable rejects requests that were not dispatched and must not remain queued: those with NoQueue and, under
// the baseline policies, all.
func (s *Scheduler) rejectUnqueueable() {
	if s.queue.size == 0 {
		return
	}
	if s.cfg.Policy != PolicyOwner {
		s.rejectWhere(ReasonNoUpstream, func(*Request) bool { return true })
		return
	}
	s.rejectWhere(ReasonBusy, func(r *Request) bool { return r.NoQueue })
}

// rejectUnservable rejects queued requests that no upstream can accept, now or later.
func (s *Scheduler) rejectUnservable() {
	s.rejectWhere(ReasonNoUpstream, func(r *Request) bool { return !s.servable(r) })
}

// rejectWhere rejects the queued requests for which match returns true.
func (s *Scheduler) rejectWhere(reason Reason, match func(*Request) bool) {
	var matched []*Request
	for _, l := range s.queue.levels {
		for _, account := range l.active {
			for _, r := range account.requests {
				if match(r) {
					matched = append(matched, r)
				}
			}
		}
	}
	for _, r := range matched {
		s.queue.remove(r)
		s.reject(r, reason)
	}
}

// servable reports whether any upstream can accept the request, now or once it has a free slot.
func (s *Scheduler) servable(r *Request) bool {
	for _, u := range s.upstreamList {
		if u.usable() && !slices.Contains(r.Exclude, u.info.ID) {
			return true
		}
	}
	return false
}

func (s *Scheduler) wakeAtEjections(now time.Time) {
	for _, u := range s.upstreamList {
		if u.usable() && u.ejection.active(now) {
			s.wakeAt(u.ejection.until)
		}
	}
}
