package gateway

import "time"

// setPeerLoad records a peer's report.
func (s *service) setPeerLoad(session uint64, free int, now time.Time) {
	if s.peerOwners[session] {
		s.peers[session] = peerLoad{free: free, at: now}
	}
}

// forwardTarget returns the peer to forward a request to, or 0. A request is forwarded where no owned upstream has a free
// slot and a peer reports one. With must, no owned upstream will ever take it; then any peer that owns a usable upstream
// will do.
func (s *service) forwardTarget(now time.Time, must bool) uint64 {
	if s.g.deps.Forwarder == nil || len(s.peerOwners) == 0 || (!must && s.scheduler.FreeSlots(now) > 0) {
		return 0
	}
	if peer := s.freestPeer(now); peer != 0 {
		// The report is used up by what is forwarded until the next one arrives.
		load := s.peers[peer]
		load.free--
		s.peers[peer] = load
		return peer
	}
	if !must {
		return 0
	}
	for session := range s.peerOwners {
		return session // The order of a map is random, which spreads the requests.
	}
	return 0
}

// freestPeer returns the peer that reported most free slots lately, or 0.
func (s *service) freestPeer(now time.Time) uint64 {
	best, bestFree := uint64(0), 0
	for session, load := range s.peers {
		if now.Sub(load.at) <= s.g.cfg.PeerLoadAge &&
			(load.free > bestFree || (load.free == bestFree && best != 0 && session < best)) {
			best, bestFree = session, load.free
		}
	}
	return best
}
