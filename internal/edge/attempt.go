package edge

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/internal/hopheader"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
	"github.com/bramleypick/bramleypick/rollout"
)

// attempt is one attempt to send a call's request to an upstream.
type attempt struct {
	call         *call
	requirements balancing.Requirements // with which the candidate was chosen
	candidate    balancing.Candidate
	local        balancing.Candidate // see balancing.Choice
	ctx          context.Context
	cancel       context.CancelFunc
	startedAt    time.Time
	isHedge      bool

	resp          *http.Response
	buffered      []byte // the body, or only its beginning if fullyBuffered is false
	fullyBuffered bool
	err           error
	// notRun reports whether it is certain that the upstream did not start the request.
	notRun bool
	// staleConn reports whether the upstream had already closed the idle connection, which is not a failure of the
	// upstream.
	staleConn bool
	// done is set when the attempt has a result.
	done atomic.Bool
	// tracked counts the attempt for a rollout of the service. It is nil if there is none.
	tracked *rolloutAttempt
}

// newAttempt returns an attempt to send the request to the candidate. Its context does not end with ctx, because the rest
// of a long response is read after call.run has returned and ended ctx.
func newAttempt(ctx context.Context, c *call, r balancing.Requirements, candidate balancing.Candidate, tracked *rollout.Attempt) *attempt {
	a := &attempt{call: c, requirements: r, candidate: candidate, startedAt: time.Now()}
	a.ctx, a.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if tracked != nil {
		a.tracked = &rolloutAttempt{Attempt: tracked, service: c.service}
		cancel := a.cancel
		a.cancel = func() {
			cancel()
			a.tracked.discarded()
		}
	}
	return a
}

// run sends the request, reads the response, records the outcome, and sends the attempt to results.
func (a *attempt) run(results chan<- *attempt) {
	a.trackCrash(a.exchange)
	a.done.Store(true)
	now := time.Now()
	outcome := a.outcome()
	a.call.service.mu.Lock()
	a.call.service.balancer.End(a.candidate.ID, outcome, now)
	a.tracked.ended(outcome, now)
	if outcome == balancing.Succeeded {
		a.call.service.balancer.RecordServiceTime(a.requirements, a.candidate, now.Sub(a.startedAt))
	}
	if a.resp != nil {
		if load, ok := a.call.g.cfg.Protocol.Load(a.resp.Header); ok {
			a.call.service.reportsLoad = true
			a.call.service.balancer.RecordLoad(a.candidate.ID, load, now)
		}
		if outcome != balancing.AddressReassigned {
			a.call.service.recordLimit(a.candidate.ID, a.resp.Header, false, now)
			a.call.service.recordHints(a.candidate, a.resp, now)
		}
	}
	failed := outcome == balancing.Failed ||
		outcome == balancing.Unreachable && a.call.service.certainlyUnreachable(a.candidate.ID, a.err)
	a.call.service.mu.Unlock()
	if failed || outcome == balancing.Succeeded {
		a.call.g.failures.record(a.candidate.ID, failed, now)
	}
	results <- a
}

func (a *attempt) exchange() {
	pool := a.call.service.pool(a.candidate.Address)
	conn, err := a.connect(pool)
	if err != nil {
		a.err, a.notRun = err, true
		return
	}
	if !a.call.useToken() {
		conn.Release()
		a.err, a.notRun = errTokenEnded, true
		return
	}
	a.countTraffic(conn)
	idle := conn.IdleFor()
	ctx := a.ctx
	if reserve := a.call.reserve(); reserve != nil {
		ctx = upstreamconn.WithRoom(ctx, reserve)
	}
	resp, exchanged, err := conn.Exchange(ctx, a.request())
	if err != nil {
		a.err, a.notRun = err, exchanged.BytesWritten == 0
		a.staleConn = errors.Is(err, upstreamconn.ErrConnLost) && exchanged.BytesRead == 0 && idle > assumedOpenFor
		return
	}
	a.resp = resp
	a.notRun = resp.Header.Get(a.call.g.cfg.Protocol.NotRunHeader) != "" || resp.StatusCode == http.StatusMisdirectedRequest
	if resp.ContentLength <= a.call.g.pacer.bufferLimit() {
		a.bufferBody()
	}
}

// bufferBody reads a body up to the buffer limit, or up to what there is room for. A body of unknown length may be longer.
func (a *attempt) bufferBody() {
	data, complete, err := a.call.readResponse(a.resp, a.call.g.pacer.bufferLimit())
	if err != nil {
		a.err = err
		a.closeBody()
		return
	}
	a.buffered = data
	if complete {
		a.fullyBuffered = true
		a.err = a.resp.Body.Close()
	}
}

func (a *attempt) closeBody() {
	// The exchange has already failed or is no longer needed. Closing the body closes the connection.
	_ = a.resp.Body.Close()
}

// request returns the request to send to the upstream.
func (a *attempt) request() *http.Request {
	c := a.call
	header := c.r.Header.Clone()
	hopheader.Remove(header)
	p := &c.g.cfg.Protocol
	header.Set(p.DeadlineHeader, strconv.FormatInt(max(1, c.timeLeft().Milliseconds()), 10))
	header.Set(p.TargetHeader, a.candidate.ID)
	c.setAccount(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	r := &http.Request{
		Method: c.r.Method, Host: c.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:  &url.URL{Scheme: "http", Host: a.candidate.Address, Opaque: c.r.RequestURI},
		Body: http.NoBody,
	}
	if length := c.body.Len(); length > 0 {
		r.Body, r.ContentLength = c.body.NewReader(), length
	}
	return r
}

// outcome returns the outcome of the attempt in the terms of package balancing.
func (a *attempt) outcome() balancing.Outcome {
	switch {
	case a.resp != nil && a.resp.StatusCode == http.StatusMisdirectedRequest:
		return balancing.AddressReassigned
	case a.resp != nil && a.notRun:
		return balancing.Shed
	case errors.Is(a.err, upstreamconn.ErrDial):
		return balancing.Unreachable
	case errors.Is(a.err, upstreamconn.ErrMaxConnections):
		return balancing.Shed
	case a.staleConn, errors.Is(a.err, context.Canceled), errors.Is(a.err, upstreamconn.ErrNoRoom):
		return balancing.Abandoned
	case a.err != nil || a.resp.StatusCode >= http.StatusInternalServerError:
		return balancing.Failed
	}
	return balancing.Succeeded
}

// recordBrokenBody records that the upstream did not complete a response whose beginning counted as a success.
func (a *attempt) recordBrokenBody() {
	s, now := a.call.service, time.Now()
	s.mu.Lock()
	s.balancer.RecordFailure(a.candidate.ID, now)
	if a.tracked != nil {
		a.tracked.Fail()
	}
	s.mu.Unlock()
	s.failures.record(a.candidate.ID, true, now)
}

// checkOverdue probes the upstream of an attempt that takes unusually long. If the upstream was at normal speed when
// the request was sent and still is, and the attempt has no response yet, the upstream drops or stalls requests. This
// counts as much as a failure reported by another gateway, and is reported to the other gateways. An attempt sent in a
// slow period does not count, because its request keeps running slowly after that period.
func (a *attempt) checkOverdue() {
	s := a.call.service
	if !a.candidate.NormalSpeed || !s.canProbe() {
		return
	}
	s.probe(a.ctx, a.candidate)
	now := time.Now()
	s.mu.Lock()
	overdue := !a.done.Load() && a.ctx.Err() == nil && s.balancer.NormalSpeed(a.candidate.ID, now)
	if overdue {
		s.balancer.RecordReportedFailures(a.candidate.ID, 1, now)
	}
	s.mu.Unlock()
	if overdue {
		s.failures.record(a.candidate.ID, true, now)
	}
}

// isFinal reports whether the attempt has a response that is forwarded to the client without another attempt. As a side
// effect, it sets c.mayHaveRun if the upstream may have started the request.
func (a *attempt) isFinal(c *call) bool {
	if a.err != nil || a.notRun {
		if !a.notRun {
			c.mayHaveRun = true
		}
		return false
	}
	c.mayHaveRun = true
	return a.resp.StatusCode < http.StatusInternalServerError || !c.repeatable()
}

// isForwardable reports whether the attempt has a complete response from an upstream. Such a response is forwarded even
// if it is a server error, when no other attempt is possible.
func (a *attempt) isForwardable() bool {
	return a.err == nil && a.resp != nil && !a.notRun && a.fullyBuffered
}

// failure returns the failure to send to the client if no other attempt gets a response.
func (a *attempt) failure() failure {
	switch {
	case a.notRun && errors.Is(a.err, upstreamconn.ErrDial):
		return noUpstream
	case a.notRun:
		return upstreamRefused
	case errors.Is(a.err, upstreamconn.ErrConnLost):
		return connectionCut
	case errors.Is(a.err, upstreamconn.ErrMalformedResponse), errors.Is(a.err, upstreamconn.ErrMismatchedResponse):
		return brokenResponse
	}
	return outcomeUnknown
}

// discard closes a response that was not read completely and cancels the attempt.
func (a *attempt) discard() {
	if a.resp != nil && !a.fullyBuffered {
		a.closeBody()
	}
	a.cancel()
}
