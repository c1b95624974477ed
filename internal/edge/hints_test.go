package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/resultcode"
)

// departureLog records the calls of Config.OnLeaving.
type departureLog struct{ calls atomic.Int32 }

func (d *departureLog) record(string, int64) { d.calls.Add(1) }

// sendTo sends n requests and returns the number of those that the upstream gets.
func sendTo(t *testing.T, g *Gateway, u *fakeUpstream, n int) int {
	t.Helper()
	before := u.requestCount()
	for range n {
		send(t, g, "/idempotent/1", nil)
	}
	return u.requestCount() - before
}

// Guards against requests to an upstream that says in a response that it leaves, whatever that response is, and although later
// responses do not say so.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	for description, respond := range map[string]http.HandlerFunc{
		"success": succeed, "server error": fail, "refusal": shed, "truncated": truncate,
	} {
		t.Run(description, func(t *testing.T) {
			is := is.New(t)
			var says atomic.Bool
			says.Store(true)
			leaving := newUpstream(t, "a", func(w http.ResponseWriter, r *http.Request) {
				if says.Swap(false) {
					w.Header().Set(testLeaving, "1")
					respond(w, r)
					return
				}
				succeed(w, r)
			})
			var departures departureLog
			state := clusterState(leaving.entry())
			g := newGateway(t, state)
			g.cfg.OnLeaving = departures.record
			for _, s := range g.services {
				s.cfg.OnLeaving = departures.record
			}
			is.Equal(sendTo(t, g, leaving, 1), 1)
			staying := newUpstream(t, "b", succeed)
			state.Upstreams = append(state.Upstreams, staying.entry())
			g.Update(state, time.Now())
			is.Equal(sendTo(t, g, leaving, 20), 0)
			is.Equal(departures.calls.Load(), int32(1))

			// It does not come back with its zone.
			state.View.Evacuated = map[string]bool{"z": true}
			g.Update(state, time.Now())
			state.View.Evacuated = nil
			g.Update(state, time.Now())
			is.Equal(sendTo(t, g, leaving, 20), 0)

			// A new process under the same id is used.
			state.Upstreams = state.Upstreams[:1]
			state.Upstreams[0].Incarnation++
			g.Update(state, time.Now())
			is.Equal(sendTo(t, g, leaving, 1), 1)
		})
	}
}

// Guards against requests to an upstream whose health response says that it leaves, and against a search that waits for an
// upstream if the last one of its service leaves.
func TestLastUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "a", succeed)
	u.setHealthHeader(http.Header{testLeaving: {"1"}})
	g := newGateway(t, clusterState(u.entry()))
	started := time.Now()
	w := send(t, g, "/once/1", nil)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(u.requestCount(), 0)
	is.True(time.Since(started) < 2*time.Second) // well before the deadline
}

// Guards against taking the departure of the upstream that has taken over an address for that of the former one, or of a former
// process for that of the present one.
func TestDepartureOfAnotherUpstream(t *testing.T) {
	is := is.New(t)
	other := newUpstream(t, "a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testLeaving, "1")
		misdirected(w, r)
	})
	var departures departureLog
	g := newGateway(t, clusterState(other.entry()))
	for _, s := range g.services {
		s.cfg.OnLeaving = departures.record
	}
	send(t, g, "/once/1", nil)
	is.Equal(other.requestCount(), 1)
	is.Equal(departures.calls.Load(), int32(0))
	s := g.services["s"]
	is.True(!s.balancer.RecordLeaving("a", other.entry().Incarnation-1))
}

// Guards against requests, health requests included, to an upstream that has asked for a pause, and against a pause that does
// not end.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	const pause = time.Second
	var busy atomic.Bool
	busy.Store(true)
	paused := newUpstream(t, "a", func(w http.ResponseWriter, r *http.Request) {
		if busy.Load() {
			w.Header().Set(testPause, pause.String())
			shed(w, r)
			return
		}
		succeed(w, r)
	})
	state := clusterState(paused.entry())
	g := newGateway(t, state)
	is.Equal(sendTo(t, g, paused, 1), 1)
	pausedAt := time.Now()
	health := paused.healthRequests.Load()

	// It is the only upstream: requests are refused at once, with the time that is left of the pause.
	w := send(t, g, "/once/1", nil)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	var body refusalBody
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
	is.Equal(resultcode.Code(body.Code), resultcode.UpstreamsPaused)
	retryAfter, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retryAfter > 0 && retryAfter <= pause.Seconds())
	is.True(time.Since(pausedAt) < pause/2)

	staying := newUpstream(t, "b", succeed)
	state.Upstreams = append(state.Upstreams, staying.entry())
	g.Update(state, time.Now())
	busy.Store(false)
	for time.Since(pausedAt) < pause*3/4 {
		is.Equal(sendTo(t, g, paused, 1), 0)
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(paused.healthRequests.Load(), health)
	state.Upstreams = state.Upstreams[:1]
	g.Update(state, time.Now())
	time.Sleep(time.Until(pausedAt.Add(pause + 100*time.Millisecond)))
	is.Equal(sendTo(t, g, paused, 1), 1)
}

// Guards against an upstream that is out of use for longer than the limit because of one response.
func TestPauseIsLimited(t *testing.T) {
	is := is.New(t)
	var asked atomic.Bool
	u := newUpstream(t, "a", func(w http.ResponseWriter, r *http.Request) {
		if !asked.Swap(true) {
			w.Header().Set(testPause, "1000h")
			shed(w, r)
			return
		}
		succeed(w, r)
	})
	g := newGateway(t, clusterState(u.entry()))
	for _, s := range g.services {
		s.cfg.MaxPause = 500 * time.Millisecond
	}
	is.Equal(sendTo(t, g, u, 1), 1)
	is.Equal(sendTo(t, g, u, 1), 0)
	time.Sleep(600 * time.Millisecond)
	is.Equal(sendTo(t, g, u, 1), 1)
}
