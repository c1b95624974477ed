package edge

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/placement"
)

// watchedGateway returns a gateway that watches for cold upstreams, as one of two gateways. owner selects whether it may send to
// the upstream while it is cold.
func watchedGateway(t *testing.T, u *fakeUpstream, owner bool, onCold func(string, int64, time.Duration)) *Gateway {
	t.Helper()
	state := clusterState(u.entry())
	state.Gateways = []placement.Member{{Name: "g0", Zone: "z"}, {Name: "g1", Zone: "z"}}
	owners := placement.NewOwners()
	owners.Update(state.Gateways)
	state.Self = owners.Owner(placement.Key{Name: u.id, Zone: "z"})
	if !owner {
		state.Self = map[string]string{"g0": "g1", "g1": "g0"}[state.Self]
	}
	cfg := testConfig(slowLinkSpeed, newGateway(t, state).cfg.Log)
	cfg.OnCold = onCold
	g := New(cfg)
	g.Update(state, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.WatchCold(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return g
}

// Guards against an upstream that reports no load, turns cold while it serves, and gets its usual requests all the same.
func TestUpstreamWithoutLoadReportsTurnsCold(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "a", succeed)
	u.omitLoad = true
	var cold atomic.Int64 // remaining warm-up as reported to the other gateways, in ms
	g := watchedGateway(t, u, true, func(_ string, _ int64, left time.Duration) { cold.Store(left.Milliseconds()) })
	is.Equal(sendTo(t, g, u, 20), 20)
	u.setHealthHeader(http.Header{testWarmup: {strconv.Itoa(3000)}})
	time.Sleep(3 * coldWatchInterval)
	is.True(cold.Load() > 2000)
	const period = time.Second
	before := u.requestCount()
	for began := time.Now(); time.Since(began) < period; time.Sleep(5 * time.Millisecond) {
		go send(t, g, "/idempotent/1", nil)
	}
	// The service's rate is 10/s, of which an owner sends up to 9/s and a burst of one.
	is.True(u.requestCount()-before <= 10)
}

// Guards against health requests of every gateway to every upstream, and to upstreams that report their load.
func TestOnlyOwnersWatch(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		omitsLoad, owner bool
		most             int32 // health requests
	}{{true, false, 0}, {false, true, 1}} {
		u := newUpstream(t, "a", succeed)
		u.omitLoad = test.omitsLoad
		watchedGateway(t, u, test.owner, nil)
		time.Sleep(5 * coldWatchInterval)
		is.True(u.healthRequests.Load() <= test.most)
	}
}
