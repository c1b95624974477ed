package edge

import (
	"context"
	"sync"
	"time"

	"github.com/bramleypick/bramleypick/balancing"
)

const (
	// maxRounds bounds the rounds of probes for one choice.
	maxRounds = 3
	// probesPerRound is how many candidates are asked at a time. With a quarter of the upstreams slow at any time, both are
	// slow in 1 of 16 cases.
	probesPerRound = 2
)

// pick chooses an upstream and records that a request is being sent to it. It asks the best candidates for their load
// unless that is known. It returns false if there is none.
func (s *service) pick(ctx context.Context, p balancing.Preferences) (balancing.Candidate, bool) {
	for round := 0; ; round++ {
		var stale []balancing.Candidate
		s.mu.Lock()
		now := time.Now()
		ranked := s.balancer.Rank(p, now)
		if len(ranked) == 0 {
			s.mu.Unlock()
			return balancing.Candidate{}, false
		}
		ask := round < maxRounds && !s.reportsNo && s.healthPath != "" && ctx.Err() == nil
		if !ask || ranked[0].Fresh() {
			s.balancer.Begin(ranked[0].ID, now)
			s.mu.Unlock()
			return ranked[0], true
		}
		s.mu.Unlock()
		for _, c := range ranked {
			if !c.Fresh() && len(stale) < probesPerRound {
				stale = append(stale, c)
			}
		}
		var probes sync.WaitGroup
		for _, c := range stale {
			probes.Go(func() { s.probe(ctx, c) })
		}
		probes.Wait()
	}
}
