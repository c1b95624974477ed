package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

// Guards against work reaching an upstream that is leaving, in whatever step a request is, against interrupting what runs
// there, and against a missing or early notice that it is drained.
func TestInvariantUpstreamDrain(t *testing.T) {
	leave := map[string]func(*controlstate.View){
		"stopped": func(v *controlstate.View) { v.Config.Stops = []dynconfig.Stop{{Upstream: "n1"}} },
		"moving":  func(v *controlstate.View) { v.Upstream("n1").MovingTo = peerSession },
		"taken":   func(v *controlstate.View) { v.Upstream("n1").Owner, v.Upstream("n1").Epoch = peerSession, 2 },
	}
	slow := after(200*time.Millisecond, http.StatusOK, "fine")
	for how, change := range leave {
		t.Run(how+" while requests run and wait", func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.each(slow)
				wait := several(15, w.get)
				w.is.Equal(w.started(), 0) // All are still running or waiting.
				w.setView(change)
				synctest.Wait()
				w.is.Equal(len(w.notices()), 0)
				answers := wait()
				w.is.Equal(w.started("n1"), 3)
				for _, a := range answers {
					w.is.Equal(a.body, "fine")
				}
				synctest.Wait()
				if how != "taken" {
					w.is.Equal(len(w.notices()), 1)
					w.is.Equal(w.notices()[0].UpstreamID, "n1")
				}
				for range 20 {
					w.get()
				}
				w.is.Equal(w.started("n1"), 3)
				w.is.True(len(w.notices()) <= 1)
			})
		})
		t.Run(how+" while connecting", func(t *testing.T) {
			inWorld(t, func(w *world) {
				var once sync.Once
				w.upstream("n1").onConnect = func() { once.Do(func() { w.setView(change) }) }
				for i := range 6 {
					w.is.Equal(w.get().body, "fine")
					w.is.Equal(w.callout(strconv.Itoa(i)).body, "fine")
				}
				w.is.Equal(w.started("n1"), 0)
			})
		})
		t.Run(how+" before a retry and a hedge", func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.setView(func(v *controlstate.View) { v.Upstreams = v.Upstreams[:2] })
				var once sync.Once
				w.upstream("n2").set(func(u *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
					once.Do(func() { w.setView(change) })
					if r.URL.Path == "/desk/hedged" {
						return slow(u, ctx, r)
					}
					return changed(http.StatusServiceUnavailable, "", notRun)(u, ctx, r)
				})
				w.upstream("n1").set(fails(0, context.DeadlineExceeded))
				for range 3 {
					w.do(http.MethodGet, "/desk/hedged")
					w.get()
				}
				w.is.Equal(w.started("n1"), 0)
			})
		})
	}
}

// Guards against a view that goes back, which could return an upstream that was given up.
func TestViewNeverGoesBack(t *testing.T) {
	inWorld(t, func(w *world) {
		w.setView(func(v *controlstate.View) { v.ConfigVersion = 5 })
		w.stopZone("north")
		present := w.view
		older := func(change func(*controlstate.View)) {
			v := present
			v.Config.Stops = nil
			change(&v)
			w.g.SetView(&v)
			status := w.g.Status()
			w.is.Equal(status.ViewIndex, present.Index)
			w.is.Equal(status.ConfigVersion, uint64(5))
		}
		older(func(v *controlstate.View) { v.Index-- })
		older(func(v *controlstate.View) { v.Index++; v.ConfigVersion = 4 })
		for range 9 {
			w.get()
		}
		w.is.Equal(w.started("n1", "n2"), 0)
	})
}

// Guards against a stop that interrupts a request, and against one that takes new ones.
func TestShutdown(t *testing.T) {
	inWorld(t, func(w *world) {
		w.each(after(300*time.Millisecond, http.StatusOK, "fine"))
		wait := several(12, w.get) // Three of them wait in the queue.
		short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		w.is.True(w.g.Shutdown(short) != nil)
		w.is.Equal(w.get().code, resultcode.ShuttingDown)
		w.is.NoErr(w.g.Shutdown(context.Background()))
		for _, a := range wait() {
			w.is.Equal(a.body, "fine")
		}
	})
}
