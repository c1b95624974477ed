package admission

import (
	"slices"
	"time"
)

// SetUpstreams replaces the upstreams of the service, owned or not. Upstreams that are no longer listed are kept until
// their requests in flight have ended.
func (s *Scheduler) SetUpstreams(list []Upstream, now time.Time) {
	for _, u := range s.upstreams {
		u.inView = false
	}
	former := s.upstreamList
	s.upstreamList = make([]*upstream, 0, len(list))
	for _, info := range list {
		u := s.setUpstream(info, now)
		u.inView = true
		s.upstreamList = append(s.upstreamList, u)
	}
	for _, u := range former {
		if !u.inView {
			u.info.Owned = false
			s.upstreamList = append(s.upstreamList, u)
			s.removeIfGone(u)
		}
	}
	s.countUsable()
	s.rejectUnservable()
}

func (s *Scheduler) setUpstream(info Upstream, now time.Time) *upstream {
	u := s.upstreams[info.ID]
	if u == nil {
		u = &upstream{bootID: info.BootID, estimate: newEstimate(now)}
		u.info.BootID = info.BootID
		s.upstreams[info.ID] = u
		s.resetRamp(u)
		if info.Owned {
			s.startOwnership(u, info, false, now)
		}
	} else {
		s.updateUpstream(u, info, now)
	}
	if info.Stopping || u.info.Stopping {
		u.stoppedAt = now
	}
	u.info = info
	u.hadOwner = u.hadOwner || info.Assigned || info.Owned
	if u.slots == 0 || u.slots > info.Slots {
		u.slots = info.Slots
	}
	return u
}

func (s *Scheduler) updateUpstream(u *upstream, info Upstream, now time.Time) {
	restarted := info.BootID != u.info.BootID && info.BootID != u.bootID
	if info.Slots != u.info.Slots {
		u.slots = info.Slots
		u.ramp.extend(info.Slots)
	}
	if restarted {
		s.handleRestart(u, info.BootID)
	}
	neverOwned := u.probe.refilledAt.IsZero() // startOwnership sets refilledAt
	if info.Owned && (info.Epoch != u.info.Epoch || neverOwned) {
		s.startOwnership(u, info, u.hadOwner && !u.stoppedRecently(now), now)
	} else if u.info.Stopping && !info.Stopping {
		s.resetRamp(u)
	}
}

// startOwnership resets the state of u for a new ownership. The upstream starts at the cold limit. If possiblyWarm is set,
// the first report that it is not cold raises the limit to its slots, less the requests of former owners.
func (s *Scheduler) startOwnership(u *upstream, info Upstream, possiblyWarm bool, now time.Time) {
	u.formerOwnerInFlight = info.Remaining
	if info.OwnerLost {
		u.formerOwnerInFlight = max(info.Slots, info.Remaining)
	}
	u.slots = info.Slots
	s.resetRamp(u)
	u.possiblyWarm = possiblyWarm
	u.estimate = newEstimate(now)
	u.ejection = ejection{}
	u.formerOwnerDeadline = now.Add(s.cfg.FormerOwnerTimeout)
	u.probe = probeState{refilledAt: now}
}

func (s *Scheduler) countUsable() {
	s.usable = 0
	for _, u := range s.upstreamList {
		if u.usable() {
			s.usable++
		}
	}
}

// removeIfGone removes an upstream that is no longer listed and has no requests in flight.
func (s *Scheduler) removeIfGone(u *upstream) {
	if u.inView || len(u.inFlight) > 0 {
		return
	}
	delete(s.upstreams, u.info.ID)
	if i := slices.Index(s.upstreamList, u); i >= 0 {
		s.upstreamList = slices.Delete(s.upstreamList, i, i+1)
	}
}
