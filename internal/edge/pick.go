package edge

import (
	"context"
	"slices"
	"time"

	"github.com/bramleypick/bramleypick/balancing"
)

const (
	// maxAsked bounds the candidates that are asked for one choice. With 40 % of the upstreams dark, none of ten answers in 1 of
	// 10,000 cases.
	maxAsked = 10
	// nextRoundAfter is how long a round of probes is awaited at least before the next ones are asked as well. Answers take 2 to
	// 5 ms, and probes that get none time out after 100 ms on a slow link.
	nextRoundAfter = 15 * time.Millisecond
	// slowProbeFactor times the usual duration of a probe is awaited if that is longer: on a busy VM answers wait for the
	// processor, and more probes would only add to that.
	slowProbeFactor = 3
	// probeGain is the weight of a new sample in the usual duration.
	probeGain = 0.1
)

// verdict tells why pick chose no upstream.
type verdict uint8

const (
	picked     verdict = 1
	overloaded verdict = 2 // there are upstreams, but none that would answer in time
	absent     verdict = 3 // there is no upstream that may get the request
	unknown    verdict = 4 // there are upstreams that may be well, but none has answered when it was asked
)

// pick chooses an upstream and records that a request is being sent to it. It asks the best candidates for their load
// unless that is known, and goes on as soon as one of the answers is good.
func (s *service) pick(ctx context.Context, p balancing.Preferences) (balancing.Candidate, verdict) {
	answered := make(chan struct{}, maxAsked)
	asked := make(map[string]bool)
	pending, round, nextRound := 0, 0, true
	var timer <-chan time.Time
	for {
		ask := len(asked) < maxAsked && ctx.Err() == nil && s.canAsk()
		best, stale, v := s.look(p, ask || pending > 0, asked, balancing.AskInRound(round))
		if v == picked {
			return best, v
		}
		if ask && (nextRound || pending == 0) {
			for _, c := range stale {
				asked[c.ID] = true
				pending++
				go func() {
					s.probe(ctx, c)
					answered <- struct{}{}
				}()
			}
			nextRound, timer = false, time.After(s.roundTime())
			round++
		}
		if pending == 0 {
			best, _, v = s.look(p, false, asked, 0)
			return best, v
		}
		select {
		case <-answered:
			pending--
		case <-timer:
			nextRound = true
		case <-ctx.Done():
			return best, v
		}
	}
}

// roundTime returns how long a round of probes is awaited before the next one.
func (s *service) roundTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(nextRoundAfter, slowProbeFactor*s.probeTime)
}

// canAsk tells whether probes say anything about the upstreams of the service.
func (s *service) canAsk() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reportsNo && s.healthPath != ""
}

// look picks an upstream if enough is known, and otherwise returns the best one and those worth asking, of which none was asked
// yet. Without ask it takes what is known.
func (s *service) look(p balancing.Preferences, ask bool, asked map[string]bool, atMost int) (best balancing.Candidate, stale []balancing.Candidate, v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ranked := s.balancer.Rank(p, now)
	best, ok := choose(ranked, p, ask)
	if len(asked) > 0 {
		// The best were asked and have not answered yet; one that is good enough must not wait for them.
		if i := slices.IndexFunc(ranked, p.Suits); i >= 0 {
			best, ok = ranked[i], true
		}
	}
	switch {
	case ok && best.Verified && (best.Fresh() || !ask):
		s.balancer.Begin(best.ID, now)
		return best, nil, picked
	case len(ranked) == 0:
		return best, nil, absent
	}
	stale = worthAsking(ranked, best, ok, asked, atMost)
	v = overloaded
	if _, hope := choose(ranked, p, true); hope {
		v = unknown
	}
	if !ok {
		best = ranked[0]
	}
	return best, stale, v
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
func worthAsking(ranked []balancing.Candidate, best balancing.Candidate, ok bool, asked map[string]bool, atMost int) []balancing.Candidate {
	var stale []balancing.Candidate
	if atMost > 0 && ok && !best.Fresh() && !asked[best.ID] {
		stale = append(stale, best)
	}
	for _, c := range ranked {
		if len(stale) >= atMost {
			break
		}
		if !c.Fresh() && !asked[c.ID] && (!ok || c.ID != best.ID) {
			stale = append(stale, c)
		}
	}
	return stale
}
