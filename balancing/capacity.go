package balancing

import "time"

const (
	// loadKnownFor is the age up to which a reported load counts for the capacity of the service.
	loadKnownFor = time.Second
	// shortOfCapacityShare is the share of the slots in use from which a service is short of capacity. Above it, extra requests
	// make others wait.
	shortOfCapacityShare = 0.7
)

// ShortOfCapacity reports whether so many slots of the upstreams with a recent load are in use that extra requests would make
// others late.
func (s *Service) ShortOfCapacity(now time.Time) bool {
	occupied, slots := 0, 0
	for _, u := range s.upstreams {
		if !u.loadAt.IsZero() && now.Sub(u.loadAt) <= loadKnownFor {
			occupied += u.occupied(now)
			slots += u.slots()
		}
	}
	return slots > 0 && float64(occupied) > shortOfCapacityShare*float64(slots)
}
