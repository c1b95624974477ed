package gateway

import (
	"time"

	"github.com/bramleypick/bramleypick/resultcode"
)

// withReadinessCheck rejects new requests while the gateway is shutting down or holds no valid lease.
func (g *Gateway) withReadinessCheck(next handler) handler {
	return func(c *call) error {
		if !g.beginRequest() {
			return resultcode.Errorf(resultcode.ShuttingDown, "the gateway is shutting down")
		}
		defer g.endRequest()
		if !g.deps.Lease.Valid(time.Now()) {
			return leaseLostError()
		}
		g.applySessionChange()
		return next(c)
	}
}

func leaseLostError() *resultcode.Error {
	return resultcode.Errorf(resultcode.LeaseLost, "the gateway has no valid session lease")
}

// startDecision is the result of mayStart.
type startDecision uint8

const (
	startAllowed startDecision = iota
	// startDeniedUpstream means that this gateway may no longer send new work to the upstream. Another upstream may be
	// tried.
	startDeniedUpstream
	// startDeniedNoLease means that the gateway holds no valid lease.
	startDeniedNoLease
)

// mayStart decides whether the gateway may send work to an upstream now. It reads the current view, which may be newer
// than the one under which the request was queued.
func (g *Gateway) mayStart(service, upstreamID string, epoch uint64) startDecision {
	if !g.deps.Lease.Valid(time.Now()) {
		return startDeniedNoLease
	}
	sv := g.snapshot.Load().services[service]
	if sv == nil {
		return startDeniedUpstream
	}
	u := sv.upstreams[upstreamID]
	if u == nil || u.stopping || sv.moving(u) || u.Epoch != epoch || !sv.sendable(u, g.deps.Lease.SessionID()) {
		return startDeniedUpstream
	}
	return startAllowed
}
