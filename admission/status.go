package admission

import "time"

// UpstreamStatus is the state of one upstream.
type UpstreamStatus struct {
	ID       string
	Epoch    uint64
	Owned    bool
	Stopping bool
	Moving   bool
	InFlight int
	// Limit is how many requests of this gateway may be in flight on the upstream now, without the over-allowance.
	Limit int
	// FormerOwnerInFlight is how many requests of former owners may still run.
	FormerOwnerInFlight int
	// Cold is set while the cold-start ramp is below the slots.
	Cold    bool
	Ejected bool
}

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return s.queue.size }

// FreeSlots returns how many more requests the owned upstreams can accept now, beyond those that are queued.
func (s *Scheduler) FreeSlots(now time.Time) int {
	n := 0
	for _, u := range s.upstreamList {
		n += u.freeSlots(now)
	}
	return max(0, n-s.queue.size)
}

// Usable returns the number of upstreams that may receive new requests, now or once they have a free slot.
func (s *Scheduler) Usable() int { return s.usable }

// Upstreams calls f for each upstream that is owned or has requests of this gateway in flight.
func (s *Scheduler) Upstreams(now time.Time, f func(UpstreamStatus)) {
	for _, u := range s.upstreamList {
		if !u.info.Owned && len(u.inFlight) == 0 {
			continue
		}
		f(UpstreamStatus{
			ID: u.info.ID, Epoch: u.info.Epoch, Owned: u.info.Owned, Stopping: u.info.Stopping, Moving: u.info.Moving,
			InFlight: len(u.inFlight), Limit: u.limit(), FormerOwnerInFlight: u.formerOwnerInFlight,
			Cold: u.ramp.limit < u.slots, Ejected: u.ejection.active(now),
		})
	}
}

// InFlight returns the number of this gateway's requests in flight on an upstream.
func (s *Scheduler) InFlight(upstreamID string) int {
	if u := s.upstreams[upstreamID]; u != nil {
		return len(u.inFlight)
	}
	return 0
}
