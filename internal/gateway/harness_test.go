package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	mySession   = 7
	peerSession = 8
)

// world is a gateway with fakes on all sides. It lives in a synctest bubble.
type world struct {
	t         *testing.T
	is        *is.I
	g         *Gateway
	lease     *fakeLease
	claims    *fakeClaims
	forwarder *fakeForwarder
	crashes   *fakeCrashes
	view      controlstate.View

	mu        sync.Mutex
	upstreams map[string]*fakeUpstream // By address, which equals the id.
	drained   []Drained
}

// inWorld runs f in a bubble with a gateway that owns the upstreams n1, n2 (zone north) and s1 (zone south), each warm
// enough for its three slots.
func inWorld(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, is: is.New(t), lease: &fakeLease{}, claims: &fakeClaims{claims: map[controlstate.ClaimKey]*fakeClaim{}},
			forwarder: &fakeForwarder{}, crashes: &fakeCrashes{}, upstreams: map[string]*fakeUpstream{},
		}
		w.forwardTo(fails(0, syscall.EPIPE))
		w.lease.session.Store(mySession)
		var err error
		w.g, err = New(Config{}, Dependencies{
			Claims: w.claims, Lease: w.lease, NewPool: w.pool, Forwarder: w.forwarder, Crashes: w.crashes,
			Drained: func(d Drained) {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.drained = append(w.drained, d)
			},
		})
		w.is.NoErr(err)
		w.view = testView()
		w.setView(func(*controlstate.View) {})
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			w.is.NoErr(w.g.Shutdown(ctx))
			synctest.Wait()
		})
		synctest.Wait() // The first probes are over.
		f(w)
	})
}

func testView() controlstate.View {
	class := func(name, method string, idempotent bool) dynconfig.Class {
		return dynconfig.Class{Name: name, Method: method, PathPrefix: "/desk", Idempotent: idempotent, TimeoutMillis: 1000}
	}
	hedged := class("hedged", "GET", true)
	hedged.PathPrefix, hedged.HedgeAfterMillis = "/desk/hedged", 50
	v := controlstate.View{Index: 1, ConfigVersion: 1, Config: dynconfig.Config{
		Zones: []dynconfig.Zone{{Name: "north"}, {Name: "south"}},
		Services: []dynconfig.Service{{
			Name: "desk", Classes: []dynconfig.Class{class("level", "GET", true), class("callout", "POST", false), hedged},
			QueueLimit: 20, ColdSlots: 3, RetryPercent: 100, ProbesPerSecond: 0.001,
		}},
		Tenants: []dynconfig.Tenant{{Name: "basin"}},
	}}
	for _, id := range []string{"n1", "n2", "s1"} {
		zone := map[byte]string{'n': "north", 's': "south"}[id[0]]
		v.Upstreams = append(v.Upstreams, controlstate.UpstreamInfo{
			ID: id, Service: "desk", Address: id, Zone: zone, BootID: "boot-1", Slots: 3, Owner: mySession, Epoch: 1,
		})
	}
	return v
}

func (w *world) pool(address string, _ int) Pool {
	return w.upstream(address)
}

func (w *world) upstream(id string) *fakeUpstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[id]
	if u == nil {
		u = &fakeUpstream{id: id, serve: after(4*time.Millisecond, http.StatusOK, "fine"), keys: map[string]int{}}
		w.upstreams[id] = u
	}
	return u
}

// notices are the notices of drained upstreams so far.
func (w *world) notices() []Drained {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Drained(nil), w.drained...)
}

// each changes every upstream.
func (w *world) each(b behaviour) {
	for _, id := range []string{"n1", "n2", "s1"} {
		w.upstream(id).set(b)
	}
}

// only takes all upstreams but one out of the view.
func (w *world) only(id string) {
	w.setView(func(v *controlstate.View) { v.Upstreams = []controlstate.UpstreamInfo{*v.Upstream(id)} })
}

// setView puts a changed copy of the view in force.
func (w *world) setView(change func(*controlstate.View)) {
	next := w.view
	next.Index++
	next.Upstreams = append([]controlstate.UpstreamInfo(nil), next.Upstreams...)
	change(&next)
	w.view = next
	w.g.SetView(&next)
}

// stopZone puts a planned stop of a zone in force.
func (w *world) stopZone(zone string) {
	w.setView(func(v *controlstate.View) { v.Config.Stops = []dynconfig.Stop{{Zone: zone}} })
}

// started is how many requests reached the upstreams named, or all.
func (w *world) started(ids ...string) int {
	if len(ids) == 0 {
		ids = []string{"n1", "n2", "s1"}
	}
	n := 0
	for _, id := range ids {
		started, _ := w.upstream(id).count()
		n += started
	}
	return n
}

// answer is what a caller saw.
type answer struct {
	status  int
	code    resultcode.Code
	body    string
	header  http.Header
	aborted bool
}

func (w *world) do(method, path string, header ...string) answer {
	return w.doContext(context.Background(), method, path, header...)
}

func (w *world) doContext(ctx context.Context, method, path string, header ...string) (a answer) {
	var r *http.Request
	if method == http.MethodPost {
		r = httptest.NewRequestWithContext(ctx, method, path, strings.NewReader("van to the cellar"))
	} else {
		r = httptest.NewRequestWithContext(ctx, method, path, nil)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil {
			if v != http.ErrAbortHandler {
				panic(v)
			}
			a.aborted = true
		}
		code, _ := strconv.Atoi(recorder.Header().Get(headerCode))
		a.status, a.code, a.body, a.header = recorder.Code, resultcode.Code(code), recorder.Body.String(), recorder.Header()
	}()
	w.g.ServeHTTP(recorder, r)
	return a
}

// get sends an idempotent request.
func (w *world) get() answer { return w.do(http.MethodGet, "/desk/level") }

// callout sends a request that must not run twice.
func (w *world) callout(key string, header ...string) answer {
	now := strconv.FormatInt(time.Now().UnixMilli(), 10)
	return w.do(http.MethodPost, "/desk/callout", append([]string{headerKey, key, headerKeyTime, now}, header...)...)
}

// several runs f n times at once and returns a function that waits for the answers.
func several(n int, f func() answer) func() []answer {
	answers := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { answers[i] = f() })
	}
	synctest.Wait()
	return func() []answer {
		wg.Wait()
		return answers
	}
}
