package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/bramleypick/bramleypick/admission"
	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

// Headers of requests and responses.
const (
	headerAccount        = "Bramleypick-Tenant"
	headerTimeout        = "Bramleypick-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerKeyTime        = "Bramleypick-Key-Time"
	headerRequestID      = "Bramleypick-Request-Id"
	headerCode           = "Bramleypick-Code"
	headerNotRun         = "Bramleypick-Not-Run"
	headerReplayed       = "Bramleypick-Replayed"
	headerLoad           = "Bramleypick-Load"
	headerBootID         = "Bramleypick-Boot-Id"
	// headerHop marks a request that was forwarded by a peer gateway.
	headerHop = "Bramleypick-Hop"
	// headerFreeSlots is set in the response to a forwarded request: the number of further requests that the peer
	// could start now.
	headerFreeSlots = "Bramleypick-Free-Slots"
)

// maxAttempts bounds the attempts of one request, whether or not anything was sent.
const maxAttempts = 3

// call is one request while it passes through the handlers.
type call struct {
	w     http.ResponseWriter
	r     *http.Request
	start time.Time

	requestID string
	forwarded bool
	// body is the complete request body. bufferedBytes is what it counts against Config.MaxBufferedBytes.
	body          []byte
	bufferedBytes int64

	serviceView *serviceView
	class       *dynconfig.Class
	account     string
	ctx         context.Context
	cancel      context.CancelFunc
	deadline    time.Time

	fingerprint string
	claim       *claimRequest

	// attempts is the number of attempts, and cutAttempts the number of those whose connection was cut.
	attempts, cutAttempts int
	// exclude lists the upstreams that the attempts used.
	exclude []string
	// firstFailure is the error of the first failed attempt after which the request may have run. It is reported
	// instead of a later error that would state that the request did not run.
	firstFailure *resultcode.Error

	code resultcode.Code
}

// claimRequest describes the claim of a non-idempotent request.
type claimRequest struct {
	key          controlstate.ClaimKey
	keyUnixMilli int64
	digest       []byte
}

// handler is one stage of request handling. An error that it returns has not been sent to the caller yet.
type handler func(c *call) error

// chain composes the stages, outermost first.
func (g *Gateway) chain() handler {
	stages := []func(handler) handler{
		g.withErrorHandling, g.withRequestID, g.withReadinessCheck, g.withClass, g.withBody, g.withCrashGuard,
		g.withIdempotencyKey, g.withRetryBudget,
	}
	h := g.dispatch
	for i := len(stages) - 1; i >= 0; i-- {
		h = stages[i](h)
	}
	return h
}

// schedulerRequest returns the request in the form that the scheduler takes.
func (c *call) schedulerRequest() admission.Request {
	return admission.Request{
		ClientAccount: c.account, Class: c.class.Name, Priority: c.class.Priority, Deadline: c.deadline,
		Idempotent: c.class.Idempotent, Exclude: c.exclude,
	}
}

// recordFailureAfterSend records the failure of an attempt after which the request may have run. Only the first one is
// kept.
func (c *call) recordFailureAfterSend(err *resultcode.Error) {
	if c.firstFailure == nil {
		c.firstFailure = err
	}
}
