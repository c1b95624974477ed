package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/placement"
	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/routing"
)

// largeClusterState returns the state of a deployment of 97 gateways and 209 upstreams of three services.
func largeClusterState() ClusterState {
	state := clusterState()
	state.View.Config.Services = nil
	for s := range 3 {
		state.View.Config.Services = append(state.View.Config.Services, routing.Service{Name: fmt.Sprint("s", s), HealthPath: "/health", WarmupRequestsPerSecond: 10})
	}
	state.Gateways = nil
	for i := range 97 {
		state.Gateways = append(state.Gateways, placement.Member{Name: fmt.Sprint("10.0.0.", i), Zone: fmt.Sprint("z", i%4)})
	}
	state.Self = "10.0.0.5"
	for i := range 209 {
		state.Upstreams = append(state.Upstreams, registry.Entry{
			ID: fmt.Sprint("upstream-", i), Service: fmt.Sprint("s", i%3), Address: fmt.Sprint("10.1.0.", i, ":80"),
			Zone: fmt.Sprint("z", i%4), Slots: 3, State: registry.Ready, Incarnation: 1,
		})
	}
	return state
}

func BenchmarkUpdate(b *testing.B) {
	state := largeClusterState()
	g := newGateway(nil, state)
	b.ReportAllocs()
	for b.Loop() {
		g.Update(state, time.Now())
	}
}

func BenchmarkRank(b *testing.B) {
	g := newGateway(nil, largeClusterState())
	s := g.service("s1")
	requirements := balancing.Requirements{Zone: "z1", Target: 600 * time.Millisecond, TimeLeft: 2 * time.Second}
	b.ReportAllocs()
	for b.Loop() {
		s.mu.Lock()
		s.balancer.Rank(requirements, time.Now())
		s.mu.Unlock()
	}
}
