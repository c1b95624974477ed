package edge

import (
	"context"
	"time"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/rollout"
)

const (
	// minRoundWait is the minimum time to wait for a round of probes before the next one starts. Responses take 2 to
	// 5 ms, and probes without a response time out after 100 ms on a slow link.
	minRoundWait = 15 * time.Millisecond
	// roundWaitFactor times the mean duration of a probe replaces minRoundWait if it is longer: on a busy VM, responses
	// wait for the CPU, and more probes would only add to the load.
	roundWaitFactor = 3
	// probeGain is the weight of a new sample in the moving average of probe durations.
	probeGain = 0.1
)

// pick selects an upstream and records that a request is being sent to it. It probes the best candidates whose load is
// not known, and returns as soon as a response shows that a candidate is good. It also returns the number of upstreams
// probed.
func (s *service) pick(ctx context.Context, r balancing.Requirements) (choice balancing.Choice, tracked *rollout.Attempt, probed int) {
	responses := make(chan struct{}, balancing.MaxProbed)
	search := balancing.Search{Probed: make(map[string]bool)}
	pending := 0
	var timer <-chan time.Time
	for {
		search.CanProbe = ctx.Err() == nil && s.canProbe()
		choice, tracked := s.choose(r, search)
		if choice.Decision != balancing.Wait {
			return choice, tracked, len(search.Probed)
		}
		if len(choice.Probe) > 0 {
			for _, c := range choice.Probe {
				search.Probed[c.ID] = true
				pending++
				go func() {
					s.probe(ctx, c)
					responses <- struct{}{}
				}()
			}
			search.Pending, search.RoundOver, timer = true, false, time.After(s.roundTime())
			search.Round++
		}
		select {
		case <-responses:
			pending--
			search.Pending = pending > 0
		case <-timer:
			search.RoundOver = true
		case <-ctx.Done():
			choice.Decision = balancing.Unresponsive
			return choice, nil, len(search.Probed)
		}
	}
}

// roundTime returns the time to wait for a round of probes before the next one starts.
func (s *service) roundTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minRoundWait, roundWaitFactor*s.meanProbeTime)
}

// canProbe reports whether probes yield any information about the upstreams of the service.
func (s *service) canProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.noLoadReports && s.healthPath != ""
}

// choose decides what to do with a request in the current state. If the decision is to send it, choose records that.
func (s *service) choose(r balancing.Requirements, search balancing.Search) (balancing.Choice, *rollout.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ranked := s.balancer.Rank(r, now)
	search.Excluded = s.balancer.Excluded()
	choice := r.Choose(ranked, search)
	if choice.Decision != balancing.Send {
		return choice, nil
	}
	s.balancer.Begin(choice.Best.ID, now)
	return choice, s.track(r, choice.Best, now)
}
