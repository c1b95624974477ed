package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/resultcode"
)

// Guards against new work in a zone that is being taken out of service, for requests at every step: waiting, before a
// retry, before a hedge, between claim and first byte. The end of a lease stops everything new in the same way.
func TestInvariantZoneEvacuation(t *testing.T) {
	stop := func(w *world) { w.stopZone("north") }
	lose := func(w *world) { w.lease.lost.Store(true) }
	faults := []struct {
		description string
		fault       func(w *world)
		south       bool // Whether the other zone still takes new work.
	}{
		{"zone stopped", stop, true},
		{"lease lost", lose, false},
		{"zone stopped, then lease lost", func(w *world) { stop(w); lose(w) }, false},
	}
	slow := after(200*time.Millisecond, http.StatusOK, "fine")
	steps := []struct {
		description string
		run         func(w *world, fault func())
	}{
		{"requests wait in the queue", func(w *world, fault func()) {
			w.each(slow)
			wait := several(20, w.get)
			fault()
			wait()
		}},
		{"requests arrive", func(w *world, fault func()) {
			fault()
			several(20, w.get)()
			several(5, func() answer { return w.callout("k") })()
		}},
		{"before a retry", func(w *world, fault func()) {
			var once sync.Once
			w.each(func(u *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
				once.Do(fault)
				return changed(http.StatusServiceUnavailable, "", notRun)(u, ctx, r)
			})
			w.get()
		}},
		{"before a hedge", func(w *world, fault func()) {
			w.each(slow)
			wait := several(1, func() answer { return w.do(http.MethodGet, "/desk/hedged") })
			fault()
			wait()
		}},
		{"between claim and first byte", func(w *world, fault func()) {
			var once sync.Once
			w.claims.onBegin = func() { once.Do(fault) }
			w.callout("k")
		}},
		{"while connecting", func(w *world, fault func()) {
			var once sync.Once
			for _, id := range []string{"n1", "n2", "s1"} {
				w.upstream(id).onConnect = func() { once.Do(fault) }
			}
			several(20, w.get)()
		}},
	}
	for _, f := range faults {
		for _, step := range steps {
			t.Run(f.description+": "+step.description, func(t *testing.T) {
				inWorld(t, func(w *world) {
					north, south, faulted := 0, 0, false
					begun := func(id string) behaviour {
						serve := w.upstream(id).serve
						return func(u *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
							w.mu.Lock()
							if faulted && id[0] == 'n' {
								north++
							} else if faulted {
								south++
							}
							w.mu.Unlock()
							return serve(u, ctx, r)
						}
					}
					step.run(w, func() {
						w.mu.Lock()
						faulted = true
						w.mu.Unlock()
						f.fault(w)
						for _, id := range []string{"n1", "n2", "s1"} {
							w.upstream(id).set(begun(id))
						}
					})
					w.is.Equal(north, 0)
					w.is.True(south == 0 || f.south)
					w.upstream("s1").set(after(0, http.StatusOK, "fine"))
					if f.south && f.description == "zone stopped" {
						w.is.Equal(w.do(http.MethodGet, "/desk/level").body, "fine") // The other zone serves on.
					}
					if !f.south {
						w.is.Equal(w.get().code, resultcode.LeaseLost)
					}
				})
			})
		}
	}
}

// Guards against slots staying taken, or a ramp staying low for ever, after a zone comes back.
func TestZoneReturns(t *testing.T) {
	inWorld(t, func(w *world) {
		w.stopZone("north")
		w.is.Equal(w.get().body, "fine")
		synctest.Wait()
		w.is.Equal(len(w.notices()), 2)
		w.setView(func(v *controlstate.View) { v.Config.Stops = nil })
		several(9, w.get)()
		w.is.Equal(w.started("n1"), 3)
		w.is.Equal(w.started("n2"), 3)
	})
}
