package gateway

import (
	"time"

	"github.com/bramleypick/bramleypick/admission"
)

// schedulerUpdate holds what a new view changes for the scheduler of a service.
type schedulerUpdate struct {
	config     admission.Config
	upstreams  []admission.Upstream
	draining   []drainingUpstream
	peerOwners map[uint64]bool
}

// drainingUpstream is an owned upstream that gets no new requests.
type drainingUpstream struct {
	DrainedUpstream
	notified bool
}

// setView passes a view to the scheduler goroutine. A nil view means that the service is no longer configured.
func (s *service) setView(sv *serviceView, session uint64) {
	u := &schedulerUpdate{peerOwners: make(map[uint64]bool)}
	if sv != nil {
		s.retryBudget.SetPercent(sv.config.RetryPercent)
		s.crashGuard.SetBlocked(sv.blockedFingerprints)
		u.config = schedulerConfig(s.g, sv)
		for _, v := range sv.upstreamList {
			s.reportSuspect(s.crashGuard.ObserveBootID(v.ID, v.BootID, time.Now()))
			u.addUpstream(sv, v, session)
		}
	}
	s.send(event{kind: eventView, update: u})
}

func (u *schedulerUpdate) addUpstream(sv *serviceView, upstream *upstreamView, session uint64) {
	owned := sv.sendable(upstream, session)
	u.upstreams = append(u.upstreams, admission.Upstream{
		ID: upstream.ID, BootID: upstream.BootID, Epoch: upstream.Epoch, Slots: upstream.Slots, Owned: owned, Assigned: upstream.Owner != 0, Stopping: upstream.stopping, Moving: sv.moving(upstream),
		Remaining: upstream.Remaining, OwnerLost: upstream.OwnerLost,
	})
	switch {
	case !owned:
		if upstream.Owner != 0 && !upstream.stopping && !sv.moving(upstream) {
			u.peerOwners[upstream.Owner] = true
		}
	case upstream.stopping || sv.moving(upstream):
		d := DrainedUpstream{Service: upstream.Service, UpstreamID: upstream.ID, Epoch: upstream.Epoch}
		if sv.moving(upstream) {
			d.MovingTo = upstream.MovingTo
		}
		u.draining = append(u.draining, drainingUpstream{DrainedUpstream: d})
	}
}

func (s *service) apply(u *schedulerUpdate, now time.Time) {
	for i := range u.draining {
		for _, old := range s.draining {
			if old.DrainedUpstream == u.draining[i].DrainedUpstream {
				u.draining[i].notified = old.notified
			}
		}
	}
	s.draining, s.peerOwners = u.draining, u.peerOwners
	for id := range s.peerReports {
		if !u.peerOwners[id] {
			delete(s.peerReports, id)
		}
	}
	s.scheduler.SetConfig(u.config)
	s.scheduler.SetUpstreams(u.upstreams, now)
	s.g.metrics.setProbeBudget(s.name, s.scheduler.Usable(), &u.config)
}

// notifyDrained reports stopping and moving upstreams that have no requests in flight.
func (s *service) notifyDrained() {
	for i := range s.draining {
		d := &s.draining[i]
		if d.notified || s.scheduler.InFlight(d.UpstreamID) > 0 {
			continue
		}
		d.notified = true
		if s.g.deps.OnDrained != nil {
			s.g.deps.OnDrained(d.DrainedUpstream)
		}
	}
}

func (s *service) status(now time.Time) ServiceStatus {
	status := ServiceStatus{Name: s.name, Queued: s.scheduler.Queued(), FreeSlots: s.freeSlots(now)}
	moving := make(map[string]uint64, len(s.draining))
	for _, d := range s.draining {
		moving[d.UpstreamID] = d.MovingTo
	}
	s.scheduler.Upstreams(now, func(u admission.UpstreamStatus) {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			ID: u.ID, Epoch: u.Epoch, Owned: u.Owned, Stopping: u.Stopping, MovingTo: moving[u.ID],
			InFlight: u.InFlight, Remaining: u.InFlight + u.FormerOwnerInFlight,
			Limit: u.Limit, Cold: u.Cold, Ejected: u.Ejected,
		})
	})
	return status
}
