package routing

import (
	"math/rand/v2"
	"sync"
)

// Splitter selects the service of each request of one route by smooth weighted round robin. With two services, each gets its
// share of any consecutive requests to within one request. With more services, the deviation can be larger: with 3 to 16
// services, it can reach 1.45 requests, counted from the first request. It is safe for concurrent use.
type Splitter struct {
	mu             sync.Mutex
	shares         []WeightedService
	currentWeights []float64
	total          float64
}

// NewSplitter returns a splitter for a valid route. It starts with random weights, so that many gateways with few requests each
// do not all start with the same service.
func NewSplitter(r *Route) *Splitter {
	s := &Splitter{shares: r.WeightedServices()}
	s.currentWeights = make([]float64, len(s.shares))
	for _, share := range s.shares {
		s.total += share.Weight
	}
	if len(s.shares) > 1 {
		for i := range s.currentWeights {
			s.currentWeights[i] = rand.Float64() * s.shares[i].Weight
		}
	}
	return s
}

// Next returns the service of the next request.
func (s *Splitter) Next() string {
	if len(s.shares) == 1 {
		return s.shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for i, share := range s.shares {
		s.currentWeights[i] += share.Weight
		if share.Weight > 0 && (best < 0 || s.currentWeights[i] > s.currentWeights[best]) {
			best = i
		}
	}
	s.currentWeights[best] -= s.total
	return s.shares[best].Service
}
