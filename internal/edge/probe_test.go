package edge

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/balancing"
)

// oneRequestPerConnection resets each connection on its second request, like an upstream that has closed idle
// connections.
type oneRequestPerConnection struct {
	next http.Handler
	mu   sync.Mutex
	seen map[string]bool
}

// ServeHTTP implements http.Handler.
func (h *oneRequestPerConnection) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	repeated := h.seen[r.RemoteAddr]
	h.seen[r.RemoteAddr] = true
	h.mu.Unlock()
	if !repeated {
		h.next.ServeHTTP(w, r)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		panic(err)
	}
	conn.Close()
}

// Guards against treating an upstream as unreachable because it closed an idle connection.
func TestProbeOnADroppedConnection(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "a", succeed)
	u.server.Config.Handler = &oneRequestPerConnection{next: u, seen: make(map[string]bool)}
	s := newGateway(t, clusterState(u.entry())).service("s")
	probed := balancing.Candidate{ID: "a", Address: u.entry().Address}
	for range 3 {
		s.probe(t.Context(), probed)
		now := time.Now()
		ranked := s.balancer.Rank(balancing.Requirements{Zone: "z"}, now)
		is.Equal(len(ranked), 1) // not in backoff
		is.True(ranked[0].Age < time.Minute)
	}
}

// Guards against refusing requests for a service whose upstreams report no load until the next update of the cluster
// state.
func TestUpstreamsWithoutLoadReports(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "a", succeed)
	u.omitLoad = true
	g := newGateway(t, clusterState(u.entry()))
	is.Equal(send(t, g, "/idempotent/1", nil).Code, 200)
	s := g.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	ranked := s.balancer.Rank(balancing.Requirements{Zone: "z"}, time.Now().Add(time.Minute))
	is.True(ranked[0].Verified) // probes yield no further information
}

// Guards against further probes and requests to an upstream that has become unreachable.
func TestProbeOfAnUnreachableUpstream(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "a", succeed)
	s := newGateway(t, clusterState(u.entry())).service("s")
	probed := balancing.Candidate{ID: "a", Address: u.entry().Address}
	s.probe(t.Context(), probed)
	u.server.Close()
	s.probe(t.Context(), probed)
	is.Equal(len(s.balancer.Rank(balancing.Requirements{Zone: "z"}, time.Now())), 0)
}

// Guards against a data race between health requests and a change of the health path. It needs the race detector.
func TestHealthPathChanges(t *testing.T) {
	u := newUpstream(t, "a", succeed)
	state := clusterState(u.entry())
	g := newGateway(t, state)
	s := g.service("s")
	probed := balancing.Candidate{ID: "a", Address: u.entry().Address}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 200 {
			s.probe(t.Context(), probed)
		}
	}()
	for i := range 200 {
		state.View.Config.Services[0].HealthPath = []string{"/health", "/healthz"}[i%2]
		g.Update(state, time.Now())
	}
	<-done
}
