package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/placement"
)

// Guards against an update of only the gateways that leaves the former parts of the limits over all gateways in force: those of
// cold upstreams, of request limits, and of the retry budget.
func TestUpdateGatewaysMovesTheLimits(t *testing.T) {
	is := is.New(t)
	state := clusterState(newUpstream(t, "cold", succeed).entry(), newUpstream(t, "limited", succeed).entry())
	state.Upstreams[0].WarmupLeft = time.Minute
	alone := state.Gateways
	others := []placement.Member{{Name: "other", Zone: "z"}}
	state.Gateways, state.Senders = others, others
	g := newGateway(t, state)
	s := g.service("s")
	usable := func(now time.Time) int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.balancer.Rank(balancing.Requirements{Zone: "z"}, now))
	}
	now := time.Now()
	g.RecordReportedLimits(map[string]float64{"limited": 2}, now)
	is.Equal(usable(now.Add(2*time.Second)), 0) // the other gateway is responsible for both
	state.Gateways, state.Senders = alone, alone
	g.UpdateGateways(state)
	usable(now.Add(2 * time.Second)) // this gateway becomes a sender and starts without tokens
	is.Equal(usable(now.Add(4*time.Second)), 2)
	state.Gateways, state.Senders = nil, others
	for range 10 {
		state.Gateways = append(state.Gateways, others...)
	}
	g.UpdateGateways(state)
	is.Equal(usable(now.Add(6*time.Second)), 0)
	retries := 0
	for s.budget.Take(now) {
		retries++
	}
	is.Equal(retries, 1) // a tenth of 80 % of the slack of 20
}
