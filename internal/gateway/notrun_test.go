package gateway

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/resultcode"
)

// Guards against "not run" about a request of which an upstream may have got a byte, whatever happens to later tries.
func TestInvariantNotRunRefusal(t *testing.T) {
	hang := after(time.Hour, http.StatusOK, "")
	rows := []struct {
		description string
		fault       func(w *world)
		send        func(w *world) answer
		code        resultcode.Code
		ran         bool // Whether an upstream may have run it.
	}{
		{"no byte written", func(w *world) { w.each(fails(0, syscall.EPIPE)) }, (*world).get, resultcode.NoUpstream, false},
		{"one byte written", func(w *world) { w.each(fails(1, syscall.EPIPE)) }, (*world).get, resultcode.UpstreamConnectionCut, true},
		{"one byte of a callout written", func(w *world) { w.each(fails(1, syscall.EPIPE)) },
			func(w *world) answer { return w.callout("k") }, resultcode.UpstreamConnectionCut, true},
		{"first try cut, second refused with not run", func(w *world) {
			first := true
			w.each(func(u *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
				if first {
					first = false
					return fails(1, syscall.ECONNRESET)(u, ctx, r)
				}
				return changed(http.StatusServiceUnavailable, "", notRun)(u, ctx, r)
			})
		}, (*world).get, resultcode.UpstreamConnectionCut, true},
		{"first try cut, then no upstream left", func(w *world) {
			w.only("n1")
			w.upstream("n1").set(fails(1, syscall.ECONNRESET))
		}, (*world).get, resultcode.UpstreamConnectionCut, true},
		{"first try cut, then the lease is lost", func(w *world) {
			w.each(func(u *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
				w.lease.lost.Store(true)
				return fails(1, syscall.ECONNRESET)(u, ctx, r)
			})
		}, (*world).get, resultcode.UpstreamConnectionCut, true},
		{"upstream says not run", func(w *world) { w.each(changed(http.StatusServiceUnavailable, "", notRun)) }, (*world).get,
			resultcode.UpstreamRefused, false},
		{"upstream says not run to a callout", func(w *world) { w.each(changed(http.StatusServiceUnavailable, "", notRun)) },
			func(w *world) answer { return w.callout("k") }, resultcode.UpstreamRefused, false},
		{"not run, but about another request", func(w *world) {
			w.only("n1")
			w.upstream("n1").set(changed(http.StatusServiceUnavailable, "", func(resp *http.Response) {
				notRun(resp)
				resp.Header.Set(headerRequestID, "other")
			}))
		}, (*world).get, resultcode.BrokenResponse, true},
		{"deadline after the first byte", func(w *world) { w.each(hang) }, (*world).get, resultcode.DeadlineAfterStart, true},
		{"deadline in the queue", func(w *world) {
			w.only("n1")
			w.upstream("n1").set(hang)
			several(3, func() answer { return w.doContext(w.t.Context(), http.MethodGet, "/desk/level") })
		}, func(w *world) answer { return w.do(http.MethodGet, "/desk/level", headerTimeout, "100") }, resultcode.DeadlineBeforeStart, false},
		{"deadline before arrival", func(*world) {}, func(w *world) answer {
			return w.do(http.MethodGet, "/desk/level", headerTimeout, "0")
		}, resultcode.DeadlineBeforeStart, false},
		{"connections refused", func(w *world) {
			for _, id := range []string{"n1", "n2", "s1"} {
				w.upstream(id).refuse = true
			}
		}, (*world).get, resultcode.NoUpstream, false},
		{"no upstream owned", func(w *world) {
			w.setView(func(v *controlstate.View) {
				for i := range v.Upstreams {
					v.Upstreams[i].Owner = 0
				}
			})
		}, (*world).get, resultcode.NoUpstream, false},
		{"lease lost", func(w *world) { w.lease.lost.Store(true) }, (*world).get, resultcode.LeaseLost, false},
		{"unknown service", func(*world) {}, func(w *world) answer { return w.do(http.MethodGet, "/other") },
			resultcode.UnknownService, false},
		{"unknown class", func(*world) {}, func(w *world) answer { return w.do(http.MethodPut, "/desk/level") },
			resultcode.UnknownClass, false},
		{"unknown tenant", func(*world) {}, func(w *world) answer { return w.do(http.MethodGet, "/desk/level", headerTenant, "who") },
			resultcode.UnknownTenant, false},
		{"malformed timeout", func(*world) {}, func(w *world) answer { return w.do(http.MethodGet, "/desk/level", headerTimeout, "soon") },
			resultcode.MalformedRequest, false},
		{"body too large", func(w *world) {
			w.setView(func(v *controlstate.View) { v.Config.Services[0].Classes[1].MaxBodyBytes = 3 })
		}, func(w *world) answer { return w.callout("k") }, resultcode.RequestTooLarge, false},
		{"no key", func(*world) {}, func(w *world) answer { return w.do(http.MethodPost, "/desk/callout") },
			resultcode.IdempotencyKeyRequired, false},
		{"no key time", func(*world) {}, func(w *world) answer { return w.do(http.MethodPost, "/desk/callout", headerKey, "k") },
			resultcode.IdempotencyKeyRequired, false},
	}
	for _, row := range rows {
		t.Run(row.description, func(t *testing.T) {
			inWorld(t, func(w *world) {
				row.fault(w)
				before := w.started()
				got := row.send(w)
				w.is.Equal(got.code, row.code)
				info, _ := row.code.Info()
				w.is.Equal(info.NotRun, !row.ran)
				w.is.Equal(got.status, info.HTTPStatus)
				if info.NotRun && row.code != resultcode.UpstreamRefused {
					w.is.Equal(w.started(), before) // No byte reached an upstream.
				}
			})
		})
	}
}
