package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/resultcode"
)

// peerServes gives all upstreams to a peer that serves forwarded requests.
func (w *world) peerServes(serve behaviour) {
	w.setView(func(v *controlstate.View) {
		for i := range v.Upstreams {
			v.Upstreams[i].Owner = peerSession
		}
	})
	w.forwardTo(serve)
}

func (w *world) forwardTo(serve behaviour) {
	w.forwarder.serve = func(ctx context.Context, r *http.Request) (*http.Response, error) {
		resp, _, err := serve(nil, ctx, r)
		return resp, err
	}
}

// Guards against a request being forwarded twice, forwarded without need, or repeated after a peer may have run it.
func TestForwarding(t *testing.T) {
	hang := after(time.Hour, http.StatusOK, "")
	busy := func(w *world) {
		w.only("n1")
		w.setView(func(v *controlstate.View) {
			other := v.Upstreams[0]
			other.ID, other.Address, other.Owner = "p1", "p1", peerSession
			v.Upstreams = append(v.Upstreams, other)
		})
		w.upstream("n1").set(hang)
		several(3, w.get)
	}
	free := func(w *world) { w.g.SetPeerLoad("desk", peerSession, 1) }
	rows := []struct {
		description string
		set         func(w *world)
		send        func(w *world) answer
		forwards    int
		code        resultcode.Code
	}{
		{"a local slot is free", func(w *world) { free(w) }, (*world).get, 0, resultcode.OK},
		{"busy, the peer has a free slot", func(w *world) { busy(w); free(w) }, (*world).get, 1, resultcode.OK},
		{"busy, the peer has none", func(w *world) { busy(w); w.g.SetPeerLoad("desk", peerSession, 0) }, (*world).get, 0,
			resultcode.DeadlineBeforeStart},
		{"busy, the peer's report is old", func(w *world) { busy(w); free(w); time.Sleep(DefaultPeerLoadAge + 1); several(3, w.get) },
			(*world).get, 0, resultcode.DeadlineBeforeStart},
		{"busy, the request was forwarded before", func(w *world) { busy(w); free(w) }, func(w *world) answer {
			return w.do(http.MethodGet, "/desk/level", headerHop, "1")
		}, 0, resultcode.DeadlineBeforeStart},
		{"busy, the report is used up", func(w *world) { busy(w); free(w); w.get() }, (*world).get, 1, resultcode.DeadlineBeforeStart},
		{"busy, a slot of the peer becomes free later", busy, func(w *world) answer {
			wait := several(1, w.get)
			free(w)
			return wait()[0]
		}, 1, resultcode.OK},
		{"busy, the peer's response renews the report", func(w *world) {
			busy(w)
			w.forwardTo(changed(http.StatusOK, "fine", func(resp *http.Response) { resp.Header.Set(headerFreeSlots, "1") }))
			free(w)
			w.get()
			w.get()
		}, (*world).get, 3, resultcode.OK},
		{"busy, a callout", func(w *world) { busy(w); free(w) }, func(w *world) answer { return w.callout("k") }, 1, resultcode.OK},
		{"nothing owned", func(w *world) { w.peerServes(after(0, http.StatusOK, "fine")) }, (*world).get, 1, resultcode.OK},
		{"nothing owned, the peer fails", func(w *world) {
			w.peerServes(fails(0, errors.New("stream broken")))
		}, func(w *world) answer { return w.callout("k") }, 1, resultcode.OutcomeUnknown},
		{"nothing owned, the peer cannot be reached", func(w *world) {
			w.peerServes(fails(0, errors.WithMessage(ErrNotForwarded, "dial")))
		}, func(w *world) answer { return w.callout("k") }, maxTries, resultcode.NoUpstream},
		{"nothing owned, the peer fails an idempotent request", func(w *world) {
			w.peerServes(fails(0, errors.New("stream broken")))
		}, (*world).get, 1, resultcode.OutcomeUnknown},
		{"waiting when the last owned upstream is taken", func(w *world) { busy(w) }, func(w *world) answer {
			wait := several(1, w.get)
			w.setView(func(v *controlstate.View) { v.Upstreams[0].Owner, v.Upstreams[0].Epoch = peerSession, 2 })
			return wait()[0]
		}, 1, resultcode.OK},
		{"connecting when the last owned upstream is taken", func(w *world) {
			w.only("n1")
			w.upstream("n1").onConnect = func() {
				w.setView(func(v *controlstate.View) { v.Upstreams[0].Owner, v.Upstreams[0].Epoch = peerSession, 2 })
			}
		}, func(w *world) answer { return w.callout("k") }, 1, resultcode.OK},
		{"sent before the last owned upstream is taken", func(w *world) {
			w.only("n1")
			w.upstream("n1").set(func(u *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
				w.setView(func(v *controlstate.View) { v.Upstreams[0].Owner, v.Upstreams[0].Epoch = peerSession, 2 })
				return fails(1, errors.New("broken"))(u, ctx, r)
			})
		}, (*world).get, 0, resultcode.BrokenResponse},
		{"the peer refuses with a code", func(w *world) {
			w.peerServes(changed(http.StatusServiceUnavailable, "{}", func(resp *http.Response) { resp.Header.Set(headerCode, "1008") }))
		}, (*world).get, 1, resultcode.QueueFull},
	}
	for _, row := range rows {
		t.Run(row.description, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.forwardTo(after(0, http.StatusOK, "fine"))
				row.set(w)
				got := row.send(w)
				w.is.Equal(got.code, row.code)
				w.is.Equal(len(w.forwarder.calls), row.forwards)
				for i, r := range w.forwarder.calls {
					w.is.Equal(r.Header.Get(headerHop), "1")
					w.is.Equal(w.forwarder.to[i], uint64(peerSession))
				}
				w.is.Equal(len(w.claims.claims), 0) // The peer claims, not this gateway.
			})
		})
	}
}
