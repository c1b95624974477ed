package gateway

import "time"

// setPeerLoad records a peer's report.
func (s *service) setPeerLoad(session uint64, free int, now time.Time) {
	if s.peerOwners[session] {
		s.peers[session] = peerLoad{free: free, at: now}
	}
}

// forwardTarget returns the peer to forward a new request to, or 0. A request is forwarded where no owned upstream has a
// free slot and a peer reports one. A gateway that owns no usable upstream forwards to any peer that does, because its
// own queue would never move.
func (s *service) forwardTarget(now time.Time) uint64 {
	if s.g.deps.Forwarder == nil || len(s.peerOwners) == 0 || s.scheduler.FreeSlots(now) > 0 {
		return 0
	}
	best, bestFree := uint64(0), 0
	for session, load := range s.peers {
		if now.Sub(load.at) <= s.g.cfg.PeerLoadAge &&
			(load.free > bestFree || (load.free == bestFree && best != 0 && session < best)) {
			best, bestFree = session, load.free
		}
	}
	if best != 0 {
		// The report is used up by what is forwarded until the next one arrives.
		load := s.peers[best]
		load.free--
		s.peers[best] = load
		return best
	}
	if s.scheduler.Usable() > 0 {
		return 0
	}
	for session := range s.peerOwners {
		if best == 0 || session < best {
			best = session
		}
	}
	return best
}
