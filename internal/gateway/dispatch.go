package gateway

import (
	"net/http"
	"time"

	"github.com/bramleypick/bramleypick/resultcode"
)

// dispatch runs attempts on upstreams until one responds or no further attempt is permitted.
func (g *Gateway) dispatch(c *call) error {
	for {
		got, err := g.waitInQueue(c)
		if err != nil {
			if c.callerDisconnected() {
				return errCallerDisconnected
			}
			return err
		}
		if got.forwardTo != 0 {
			retry, err := g.forward(c, got.forwardTo)
			if retry {
				continue
			}
			return err
		}
		a := g.runAttempt(c, got)
		if g.mayRetry(c, a) {
			a.discard()
			continue
		}
		if a.err != nil {
			if c.callerDisconnected() {
				return errCallerDisconnected
			}
			return a.err
		}
		return g.respond(c, a)
	}
}

// runAttempt runs one attempt, with a hedge if the class is configured for hedging.
func (g *Gateway) runAttempt(c *call, got grant) *attempt {
	a := g.newAttempt(c, got.assignment)
	switch {
	case !c.class.Idempotent:
		g.runOnce(c, a)
	case c.class.HedgeAfterMillis > 0:
		return g.runHedged(c, a)
	default:
		a.run()
	}
	c.merge(a)
	return a
}

// merge adds the result of an attempt to the call.
func (c *call) merge(a *attempt) {
	c.exclude = append(c.exclude, a.assignment.UpstreamID)
	if a.cut {
		c.cutAttempts++
	}
	switch {
	case !a.sent || a.refused:
	case a.err != nil:
		c.recordFailureAfterSend(a.err)
	case a.hasFailureStatus():
		c.recordFailureAfterSend(resultcode.Errorf(resultcode.OutcomeUnknown, "the upstream answered with status %d", a.resp.StatusCode))
	}
}

// mayRetry reports whether a request may be tried again after a. If bytes may have been sent, only idempotent requests
// may be retried, within the retry budget.
func (g *Gateway) mayRetry(c *call, a *attempt) bool {
	if c.ctx.Err() != nil || c.attempts >= maxAttempts {
		return false
	}
	if !a.sent {
		return a.retryUnsent
	}
	if !c.class.Idempotent || (a.err == nil && !a.hasFailureStatus()) {
		return false
	}
	// A request that crashes upstreams must not crash a third one.
	if c.cutAttempts > 1 || c.serviceView.service.crashGuard.Blocked(c.fingerprint, time.Now()) {
		return false
	}
	return c.serviceView.service.retryBudget.Take(time.Now())
}

// hasFailureStatus reports whether the response is a server error for which a retry on another upstream may succeed.
func (a *attempt) hasFailureStatus() bool {
	if a.resp == nil {
		return false
	}
	switch a.resp.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
