package edge

import (
	"context"
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

// verdict tells why pick chose no upstream.
type verdict uint8

const (
	picked     verdict = 1
	overloaded verdict = 2 // there are upstreams, but none that would answer in time
	absent     verdict = 3 // there is no upstream that may get the request
)

// pick chooses an upstream and records that a request is being sent to it. It asks the best candidates for their load
// unless that is known, and goes on as soon as one of the answers is good.
func (s *service) pick(ctx context.Context, p balancing.Preferences) (balancing.Candidate, verdict) {
	for round := 0; ; round++ {
		ask := round < maxRounds && s.canAsk() && ctx.Err() == nil
		best, stale, v := s.look(p, ask)
		if v == picked || !ask || len(stale) == 0 {
			return best, v
		}
		answered := make(chan struct{}, len(stale))
		for _, c := range stale {
			go func() {
				s.probe(ctx, c)
				answered <- struct{}{}
			}()
		}
		for range stale {
			<-answered
			if best, _, v := s.look(p, true); v == picked {
				return best, v
			}
		}
	}
}

// canAsk tells whether probes say anything about the upstreams of the service.
func (s *service) canAsk() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reportsNo && s.healthPath != ""
}

// look picks an upstream if enough is known, and otherwise returns the best one and those worth asking. Without ask it takes what
// is known.
func (s *service) look(p balancing.Preferences, ask bool) (best balancing.Candidate, stale []balancing.Candidate, v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ranked := s.balancer.Rank(p, now)
	best, ok := choose(ranked, p, ask)
	switch {
	case ok && best.Verified && (best.Fresh() || !ask):
		s.balancer.Begin(best.ID, now)
		return best, nil, picked
	case len(ranked) == 0:
		return best, nil, absent
	}
	stale = worthAsking(ranked, best, ok)
	if !ok {
		best = ranked[0]
	}
	return best, stale, overloaded
}

// choose returns the first candidate that admits the request. Without a further round of probes it must be verified.
func choose(ranked []balancing.Candidate, p balancing.Preferences, ask bool) (balancing.Candidate, bool) {
	for _, c := range ranked {
		if p.Admits(c) && (ask || c.Verified) {
			return c, true
		}
	}
	return balancing.Candidate{}, false
}

// worthAsking returns the candidates to ask for their load: the best one, and the next that nobody knows about.
func worthAsking(ranked []balancing.Candidate, best balancing.Candidate, ok bool) []balancing.Candidate {
	var stale []balancing.Candidate
	if ok {
		stale = append(stale, best)
	}
	for _, c := range ranked {
		if len(stale) >= probesPerRound {
			break
		}
		if !c.Fresh() && (!ok || c.ID != best.ID) {
			stale = append(stale, c)
		}
	}
	return stale
}
