package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/admission"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
	"github.com/bramleypick/bramleypick/resultcode"
)

// attempt is one attempt to run a request on one upstream. It does not modify its call, because a hedge may outlive
// the call.
type attempt struct {
	g          *Gateway
	c          *call
	service    *service
	assignment admission.Assignment
	upstream   *upstreamView
	ctx        context.Context
	cancel     context.CancelFunc
	id         string
	request    *http.Request

	started time.Time
	// guardID identifies the request in the crash guard from its start until endGuard; guardActive is true in between.
	guardID     uint64
	guardActive bool
	reused      bool
	// ended is true once the scheduler has been sent the outcome, which releases the slot.
	ended bool
	// fromPeer is true for the response to a forwarded request. The peer holds the slot.
	fromPeer bool
	latency  time.Duration
	report   admission.Report
	// responded is true once the latency has been reported to the scheduler while the body is still being transferred.
	responded bool

	// resp is the response, and body the part of its body that has been read. complete is true once body holds all of
	// it or all of it has been streamed to the caller.
	resp     *http.Response
	body     []byte
	complete bool
	replay   *replay
	claimID  uint64

	// err is the reason why there is no response. sent is true once bytes may have reached the upstream, refused if
	// the upstream stated that it did not start the request, cut if the connection was cut, and retryUnsent if nothing
	// was sent and another upstream may be tried.
	err         *resultcode.Error
	sent        bool
	refused     bool
	cut         bool
	retryUnsent bool
}

func (g *Gateway) newAttempt(c *call, assignment admission.Assignment) *attempt {
	a := &attempt{
		g: g, c: c, service: c.serviceView.service, assignment: assignment, id: g.attemptID(c),
		upstream: g.snapshot.Load().upstream(c.serviceView.config.Name, assignment.UpstreamID),
	}
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	if a.upstream != nil {
		a.request = a.newRequest()
	}
	return a
}

// run connects and exchanges the request. It is the whole attempt for an idempotent request.
func (a *attempt) run() {
	defer a.endOnPanic()
	conn := a.connect(false)
	if conn == nil {
		return
	}
	if !a.checkStart() {
		conn.Release()
		return
	}
	a.exchange(conn)
}

// connect returns a connection, or nil after ending the attempt.
func (a *attempt) connect(forceNew bool) Conn {
	if a.upstream == nil || a.upstream.pool == nil {
		a.failNotSendable()
		return nil
	}
	conn, err := a.upstream.pool.Connect(a.ctx, forceNew)
	if err == nil {
		return conn
	}
	if a.ctx.Err() != nil {
		a.err = resultcode.Errorf(resultcode.DeadlineBeforeStart, "the request ended while connecting to an upstream")
		a.end(admission.NotSent)
		return nil
	}
	if errors.Is(err, upstreamconn.ErrMaxConnections) || errors.Is(err, upstreamconn.ErrPoolClosed) {
		a.failNotSendable() // A limit in this gateway is not a failure of the upstream.
		return nil
	}
	a.service.recordRefusedConnection(a.upstream.ID, err)
	a.g.log.Info("connection to upstream failed", zap.String("upstream", a.upstream.ID), zap.Error(err))
	a.err = resultcode.Errorf(resultcode.NoUpstream, "no connection to the upstream")
	a.retryUnsent = true
	a.end(admission.Failed)
	return nil
}

// checkStart reports whether the first byte may be written now. Otherwise it ends the attempt.
func (a *attempt) checkStart() bool {
	if a.ctx.Err() != nil {
		a.err = resultcode.Errorf(resultcode.DeadlineBeforeStart, "the request ended before it was sent")
		a.end(admission.NotSent)
		return false
	}
	switch a.g.mayStart(a.service.name, a.assignment.UpstreamID, a.assignment.Epoch) {
	case startAllowed:
		return true
	case startDeniedUpstream:
		a.failNotSendable()
	default:
		a.err = leaseLostError()
		a.end(admission.NotSent)
	}
	return false
}

// detach lets the exchange continue until the deadline even if the caller disconnects. A claimed request whose caller
// lost its connection runs to completion, so that a resend by the caller returns the recorded response rather than an
// unknown outcome.
func (a *attempt) detach() {
	a.cancel()
	a.ctx, a.cancel = context.WithDeadline(context.WithoutCancel(a.c.ctx), a.c.deadline)
}

// failNotSendable ends an attempt that sent nothing because this gateway may not or cannot use the upstream now.
// Another upstream may be tried.
func (a *attempt) failNotSendable() {
	a.err = resultcode.Errorf(resultcode.NoUpstream, "the upstream takes no new work from this gateway")
	a.retryUnsent = true
	a.end(admission.NotSent)
}

// end releases the slot. Only the first call has an effect.
func (a *attempt) end(result admission.Result) {
	if a.ended {
		return
	}
	a.ended = true
	if a.guardActive {
		a.endGuard(a.cut)
	}
	if result == admission.Neutral && a.latency == 0 && !a.responded && !a.started.IsZero() {
		a.latency = time.Since(a.started)
	}
	a.service.done(a.assignment, admission.Outcome{Result: result, Latency: a.latency, Report: a.report})
}

func (a *attempt) endGuard(cut bool) {
	a.guardActive = false
	if cut {
		a.service.reportSuspect(a.service.crashGuard.ConnectionCut(a.upstream.ID, a.guardID, time.Now()))
		return
	}
	a.service.crashGuard.End(a.upstream.ID, a.guardID)
}

// discard drops a response that nobody will read.
func (a *attempt) discard() {
	if a.resp != nil && a.resp.Body != nil && !a.complete {
		_ = a.resp.Body.Close() // Closes the connection. There is no caller to report an error to.
	}
	a.end(admission.Neutral)
	a.cancel()
}

// endOnPanic prevents a panic from leaking the slot. On the goroutine of a hedge it also prevents the panic from
// terminating the process.
func (a *attempt) endOnPanic() {
	v := recover()
	if v == nil {
		return
	}
	a.g.log.Error("panic while exchanging a request with an upstream", zap.String("request", a.c.requestID),
		zap.String("service", a.service.name), zap.String("upstream", a.assignment.UpstreamID), zap.Any("panic", v), zap.Stack("stack"))
	a.err = resultcode.Errorf(resultcode.OutcomeUnknown, "internal error during the exchange")
	a.sent = true
	a.end(admission.Neutral)
}
