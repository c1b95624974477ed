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

// Guards against reporting "not run" for a request of which an upstream may have received a byte, whatever the results
// of later attempts.
func TestInvariantNotRunRefusal(t *testing.T) {
	hang := respondAfter(time.Hour, http.StatusOK, "")
	rows := []struct {
		description string
		fault       func(h *harness)
		send        func(h *harness) callerResponse
		code        resultcode.Code
		ran         bool // Whether an upstream may have run it.
	}{
		{"no byte written", func(h *harness) { h.serveAll(failAfterBytes(0, syscall.EPIPE)) }, (*harness).get, resultcode.NoUpstream, false},
		{"one byte written", func(h *harness) { h.serveAll(failAfterBytes(1, syscall.EPIPE)) }, (*harness).get, resultcode.UpstreamConnectionCut, true},
		{"one byte of a non-idempotent request written", func(h *harness) { h.serveAll(failAfterBytes(1, syscall.EPIPE)) },
			func(h *harness) callerResponse { return h.callout("k") }, resultcode.UpstreamConnectionCut, true},
		{"first attempt cut, second rejected with not run", func(h *harness) {
			first := true
			h.serveAll(func(u *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
				if first {
					first = false
					return failAfterBytes(1, syscall.ECONNRESET)(u, ctx, r)
				}
				return respondChanged(http.StatusServiceUnavailable, "", notRun)(u, ctx, r)
			})
		}, (*harness).get, resultcode.UpstreamConnectionCut, true},
		{"first attempt cut, then no upstream left", func(h *harness) {
			h.keepOnly("n1")
			h.upstream("n1").setServe(failAfterBytes(1, syscall.ECONNRESET))
		}, (*harness).get, resultcode.UpstreamConnectionCut, true},
		{"first attempt cut, then the lease is lost", func(h *harness) {
			h.serveAll(func(u *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
				h.lease.lost.Store(true)
				return failAfterBytes(1, syscall.ECONNRESET)(u, ctx, r)
			})
		}, (*harness).get, resultcode.UpstreamConnectionCut, true},
		{"upstream states not run", func(h *harness) { h.serveAll(respondChanged(http.StatusServiceUnavailable, "", notRun)) }, (*harness).get,
			resultcode.UpstreamRefused, false},
		{"upstream states not run for a non-idempotent request", func(h *harness) { h.serveAll(respondChanged(http.StatusServiceUnavailable, "", notRun)) },
			func(h *harness) callerResponse { return h.callout("k") }, resultcode.UpstreamRefused, false},
		{"not run, but for another request id", func(h *harness) {
			h.keepOnly("n1")
			h.upstream("n1").setServe(respondChanged(http.StatusServiceUnavailable, "", func(resp *http.Response) {
				notRun(resp)
				resp.Header.Set(headerRequestID, "other")
			}))
		}, (*harness).get, resultcode.BrokenResponse, true},
		{"not run, without a request id", func(h *harness) { // may be a second refusal of an earlier request
			h.keepOnly("n1")
			h.upstream("n1").setServe(respondChanged(http.StatusServiceUnavailable, "", func(resp *http.Response) {
				notRun(resp)
				resp.Header.Del(headerRequestID)
			}))
		}, (*harness).get, resultcode.BrokenResponse, true},
		{"deadline passes after the first byte", func(h *harness) { h.serveAll(hang) }, (*harness).get, resultcode.DeadlineAfterStart, true},
		{"deadline passes in the queue", func(h *harness) {
			h.keepOnly("n1")
			h.upstream("n1").setServe(hang)
			concurrently(3, func() callerResponse { return h.doContext(h.t.Context(), http.MethodGet, "/desk/level") })
		}, func(h *harness) callerResponse { return h.do(http.MethodGet, "/desk/level", headerTimeout, "100") }, resultcode.DeadlineBeforeStart, false},
		{"deadline passed before arrival", func(*harness) {}, func(h *harness) callerResponse {
			return h.do(http.MethodGet, "/desk/level", headerTimeout, "0")
		}, resultcode.DeadlineBeforeStart, false},
		{"connections refused", func(h *harness) {
			for _, id := range []string{"n1", "n2", "s1"} {
				h.upstream(id).refuse = true
			}
		}, (*harness).get, resultcode.NoUpstream, false},
		{"no upstream owned", func(h *harness) {
			h.setView(func(v *controlstate.View) {
				for i := range v.Upstreams {
					v.Upstreams[i].Owner = 0
				}
			})
		}, (*harness).get, resultcode.NoUpstream, false},
		{"lease lost", func(h *harness) { h.lease.lost.Store(true) }, (*harness).get, resultcode.LeaseLost, false},
		{"unknown service", func(*harness) {}, func(h *harness) callerResponse { return h.do(http.MethodGet, "/other") },
			resultcode.UnknownService, false},
		{"unknown class", func(*harness) {}, func(h *harness) callerResponse { return h.do(http.MethodPut, "/desk/level") },
			resultcode.UnknownClass, false},
		{"unknown client account", func(*harness) {}, func(h *harness) callerResponse { return h.do(http.MethodGet, "/desk/level", headerAccount, "who") },
			resultcode.UnknownClientAccount, false},
		{"malformed timeout", func(*harness) {}, func(h *harness) callerResponse { return h.do(http.MethodGet, "/desk/level", headerTimeout, "soon") },
			resultcode.MalformedRequest, false},
		{"body too large", func(h *harness) {
			h.setView(func(v *controlstate.View) { v.Config.Services[0].Classes[1].MaxBodyBytes = 3 })
		}, func(h *harness) callerResponse { return h.callout("k") }, resultcode.RequestTooLarge, false},
		{"no idempotency key", func(*harness) {}, func(h *harness) callerResponse { return h.do(http.MethodPost, "/desk/callout") },
			resultcode.IdempotencyKeyRequired, false},
		{"no time of the idempotency key", func(*harness) {}, func(h *harness) callerResponse {
			return h.do(http.MethodPost, "/desk/callout", headerIdempotencyKey, "k")
		},
			resultcode.IdempotencyKeyRequired, false},
	}
	for _, row := range rows {
		t.Run(row.description, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				row.fault(h)
				before := h.started()
				got := row.send(h)
				h.is.Equal(got.code, row.code)
				info, _ := row.code.Info()
				h.is.Equal(info.NotRun, !row.ran)
				h.is.Equal(got.status, info.HTTPStatus)
				if info.NotRun && row.code != resultcode.UpstreamRefused {
					h.is.Equal(h.started(), before) // No byte reached an upstream.
				}
			})
		})
	}
}
