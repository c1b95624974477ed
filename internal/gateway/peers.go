package gateway

import (
	"time"

	"github.com/bramleypick/bramleypick/admission"
)

// setPeerFreeSlots records a peer's report and forwards queued requests that the peer can start at once.
func (s *service) setPeerFreeSlots(session uint64, free int, now time.Time) {
	if !s.peerOwners[session] {
		return
	}
	s.peerReports[session] = peerReport{freeSlots: free, receivedAt: now}
	for s.scheduler.Queued() > 0 && s.scheduler.FreeSlots(now) == 0 && s.peerReports[session].freeSlots > 0 {
		r := s.scheduler.TakeQueued(func(r *admission.Request) bool { return r.Value.(*waiter).mayForward })
		if r == nil {
			return
		}
		s.decrementPeerFreeSlots(session)
		r.Value.(*waiter).grant <- grant{forwardTo: session}
	}
}

// decrementPeerFreeSlots subtracts one forwarded request from the peer's reported free slots. The peer's response
// updates the report, so that forwarding continues at the rate at which the peer completes requests.
func (s *service) decrementPeerFreeSlots(session uint64) {
	report := s.peerReports[session]
	report.freeSlots--
	s.peerReports[session] = report
}

// freeSlots returns how many requests from peers this gateway could start now.
func (s *service) freeSlots(now time.Time) int {
	return max(0, s.scheduler.FreeSlots(now)-s.scheduler.Queued())
}

// forwardTarget returns the peer to forward a request to, or 0. A request is forwarded if no owned upstream has a free
// slot and a peer reports one. If required is set, no owned upstream can take the request, so any peer that owns a
// usable upstream is a valid target.
func (s *service) forwardTarget(now time.Time, required bool) uint64 {
	if s.g.deps.Forwarder == nil || len(s.peerOwners) == 0 || (!required && s.scheduler.FreeSlots(now) > 0) {
		return 0
	}
	if peer := s.peerWithMostFreeSlots(now); peer != 0 {
		s.decrementPeerFreeSlots(peer)
		return peer
	}
	if !required {
		return 0
	}
	for session := range s.peerOwners {
		return session // Map iteration order is random, which distributes the requests.
	}
	return 0
}

// peerWithMostFreeSlots returns the peer with the most free slots among reports that are not older than
// PeerReportMaxAge, or 0.
func (s *service) peerWithMostFreeSlots(now time.Time) uint64 {
	best, bestFree := uint64(0), 0
	for session, report := range s.peerReports {
		if now.Sub(report.receivedAt) <= s.g.cfg.PeerReportMaxAge &&
			(report.freeSlots > bestFree || (report.freeSlots == bestFree && best != 0 && session < best)) {
			best, bestFree = session, report.freeSlots
		}
	}
	return best
}
