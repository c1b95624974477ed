package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/resultcode"
)

// forward sends the request to a peer gateway, which then handles it completely, including the claim. retry is true if
// the peer failed and the request may be queued again.
func (g *Gateway) forward(c *call, session uint64) (retry bool, err error) {
	// The peer checks only its own lease. Without a valid lease, this gateway must not cause work on a peer either.
	if !g.deps.Lease.Valid(time.Now()) {
		return false, leaseLostError()
	}
	r := c.outgoingRequest()
	r.Header.Set(headerRequestID, g.attemptID(c))
	r.Header.Set(headerHop, "1")
	g.metrics.increment(c.serviceView.config.Name, "forwards")
	resp, err := g.deps.Forwarder.Forward(c.ctx, session, r.WithContext(c.ctx))
	if err == nil {
		g.updatePeerFreeSlots(c, session, resp)
		return false, g.respondForwarded(c, r, resp)
	}
	if c.callerDisconnected() {
		return false, errCallerDisconnected
	}
	if errors.Is(err, ErrNotForwarded) {
		g.SetPeerFreeSlots(c.serviceView.config.Name, session, 0) // Not used again before its next report.
		if c.attempts < maxAttempts && c.ctx.Err() == nil {
			return true, nil
		}
		return false, resultcode.Errorf(resultcode.NoUpstream, "no peer gateway could be reached")
	}
	failure := resultcode.Errorf(resultcode.OutcomeUnknown, "forward to a peer gateway: %v", err)
	c.recordFailureAfterSend(failure)
	if c.ctx.Err() != nil || !c.class.Idempotent || !c.serviceView.service.retryBudget.Take(time.Now()) {
		return false, failure
	}
	return true, nil
}

// updatePeerFreeSlots reads the peer's number of free slots from its response. This needs no separate message, and the
// number is as recent as the release of the slot that the forwarded request used.
func (g *Gateway) updatePeerFreeSlots(c *call, session uint64, resp *http.Response) {
	if free, err := strconv.Atoi(resp.Header.Get(headerFreeSlots)); err == nil && free >= 0 {
		g.SetPeerFreeSlots(c.serviceView.config.Name, session, free)
	}
}

// respondForwarded writes a peer's response to the caller, with the result code and replay header that the peer set.
func (g *Gateway) respondForwarded(c *call, r *http.Request, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	if echo := resp.Header.Get(headerRequestID); echo != "" && echo != r.Header.Get(headerRequestID) {
		return resultcode.Errorf(resultcode.BrokenResponse, "the response belongs to another request")
	}
	// The peer holds the slot, so there is none to release here.
	a := &attempt{g: g, c: c, service: c.serviceView.service, ctx: c.ctx, cancel: func() {}, request: r, ended: true, fromPeer: true}
	a.receive(resp)
	if a.err != nil {
		return a.err
	}
	return g.respond(c, a)
}
