package edge

import (
	"context"
	"math"
	"time"

	"github.com/bramleypick/bramleypick/balancing"
)

// hedgeDelay returns the time after which the request is hedged. The caller holds the service's mu.
func (c *call) hedgeDelay(r balancing.Requirements) time.Duration {
	policy := c.service.hedging
	if policy == nil {
		return c.service.balancer.HedgeDelay(r)
	}
	now := time.Now()
	policy.RecordRequest(now)
	if delay, ok := policy.Delay(r.Route, r.Target, now); ok && c.repeatable() {
		return delay
	}
	return math.MaxInt64
}

// hedgeExclusion is what may be the reason why the first attempt has no response, apart from its upstream.
type hedgeExclusion struct{ hosts, zones []string }

// hedge sends the request to a second upstream because the first one takes unusually long.
func (c *call) hedge(ctx context.Context, results chan<- *attempt) (*attempt, bool) {
	if !c.repeatable() || !c.takeHedge(time.Now()) {
		return nil, false
	}
	next, ok := c.extraAttempt(ctx, results)
	c.hedgeExclusion = nil
	if ok {
		next.isHedge = true
		c.service.metrics.hedges.Inc(1)
	} else if c.service.hedging != nil {
		c.service.mu.Lock()
		c.service.hedging.Return(time.Now())
		c.service.mu.Unlock()
	}
	return next, ok
}

// takeHedge reserves a hedge within the limit of the operators and determines what it must avoid. When the service is short of
// capacity it permits none, because extra requests would make others late.
func (c *call) takeHedge(now time.Time) bool {
	s, first := c.service, c.first.candidate
	if s.hedging == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.hedged {
		c.hedged = true
		s.hedging.BeginWait(first.Zone, first.ID)
	}
	if s.balancer.ShortOfCapacity(now) || !s.hedging.Take(now) {
		return false
	}
	c.hedgeExclusion = &hedgeExclusion{hosts: []string{balancing.Host(first.Address)}}
	if s.hedging.SlowZone(first.Zone) {
		c.hedgeExclusion.zones = []string{first.Zone}
	}
	return true
}

// recordFirstAttempt records how long the first attempt took, or how long it had taken when another one responded.
func (c *call) recordFirstAttempt() {
	s := c.service
	if s.hedging == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.hedged {
		s.hedging.EndWait(c.first.candidate.Zone, c.first.candidate.ID)
	}
	if c.repeatable() && (!c.first.done.Load() || c.first.outcome() == balancing.Succeeded) {
		s.hedging.RecordAttempt(c.route.Name, now.Sub(c.first.startedAt), now)
	}
}
