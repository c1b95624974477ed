package gateway

import (
	"time"

	"github.com/bramleypick/bramleypick/resultcode"
)

// admitted refuses new requests while the gateway shuts down or has no lease.
func (g *Gateway) admitted(next handler) handler {
	return func(c *call) error {
		if !g.enter() {
			return resultcode.Errorf(resultcode.ShuttingDown, "the gateway is shutting down")
		}
		defer g.leave()
		if !g.deps.Lease.Valid(time.Now()) {
			return leaseLost()
		}
		g.refresh()
		return next(c)
	}
}

func leaseLost() *resultcode.Error {
	return resultcode.Errorf(resultcode.LeaseLost, "the gateway has no valid session lease")
}

// startable is the answer of mayStart.
type startable uint8

const (
	startAllowed startable = iota
	// startElsewhere: this gateway may not send the upstream new work any more; another upstream may do.
	startElsewhere
	// startRefused: the gateway has no lease.
	startRefused
)

// mayStart tells whether the gateway may send work to an upstream now. It reads the view in force, not the one under which
// the request was queued.
func (g *Gateway) mayStart(service, upstreamID string, epoch uint64) startable {
	if !g.deps.Lease.Valid(time.Now()) {
		return startRefused
	}
	sv := g.snapshot.Load().services[service]
	if sv == nil {
		return startElsewhere
	}
	u := sv.upstreams[upstreamID]
	if u == nil || u.stopping || sv.moving(u) || u.Epoch != epoch || !sv.sendable(u, g.deps.Lease.SessionID()) {
		return startElsewhere
	}
	return startAllowed
}
