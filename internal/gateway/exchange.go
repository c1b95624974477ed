package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/bramleypick/bramleypick/admission"
	"github.com/bramleypick/bramleypick/resultcode"
)

// maxBufferedResponse is the size in bytes up to which a response is read completely before the caller gets any of it.
// It is also the size limit of recorded responses.
const maxBufferedResponse = 64 << 10

// maxStatus is the highest status that RFC 9110 defines as valid.
const maxStatus = 599

// exchange sends the request and reads the response header, and also the body if it is small.
func (a *attempt) exchange(conn Conn) {
	a.request.Header.Set(headerTimeout, a.c.remainingMillis())
	a.started = time.Now()
	a.guardID = a.service.crashGuard.Start(a.upstream.ID, a.upstream.BootID, a.c.fingerprint, a.started)
	a.guardActive = true
	a.sent = true // Assumed until the outcome proves otherwise.
	resp, outcome, err := conn.Exchange(a.ctx, a.request)
	a.reused = outcome.Reused
	if err != nil {
		a.exchangeFailed(err, outcome)
		return
	}
	a.latency = time.Since(a.started)
	echo := resp.Header.Get(headerRequestID)
	if echo != "" && echo != a.id {
		a.rejectResponse(resp, "the response belongs to another request")
		return
	}
	a.report = parseReport(resp.Header)
	a.service.reportSuspect(a.service.crashGuard.ObserveBootID(a.upstream.ID, a.report.BootID, time.Now()))
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotRun) == "1" {
		if echo == "" { // it may be a second response to an earlier request
			a.rejectResponse(resp, "the refusal does not name the request")
			return
		}
		a.refused = true
		a.err = resultcode.Errorf(resultcode.UpstreamRefused, "the upstream did not start the request")
		_ = resp.Body.Close()
		a.end(admission.Failed)
		return
	}
	a.receive(resp)
}

func (a *attempt) exchangeFailed(err error, outcome ExchangeOutcome) {
	if outcome.BytesWritten == 0 {
		a.sent = false
		a.err = resultcode.Errorf(resultcode.NoUpstream, "the connection failed before the request was sent")
		if a.ctx.Err() != nil {
			a.err = resultcode.Errorf(resultcode.DeadlineBeforeStart, "the request ended before it was sent")
			a.end(admission.NotSent)
			return
		}
		a.retryUnsent = true
		a.end(a.failureResult())
		return
	}
	a.responseFailed(err)
}

// responseFailed ends an attempt whose request was sent but whose response did not arrive completely.
func (a *attempt) responseFailed(err error) {
	switch {
	case a.ctx.Err() != nil && !time.Now().Before(a.c.deadline):
		a.err = resultcode.Errorf(resultcode.DeadlineAfterStart, "the deadline passed before the response was complete")
		a.end(a.failureResult())
	case a.ctx.Err() != nil:
		a.err = resultcode.Errorf(resultcode.OutcomeUnknown, "the request was cancelled")
		a.end(admission.Neutral)
	case isCut(err):
		a.cut = true
		a.err = resultcode.Errorf(resultcode.UpstreamConnectionCut, "the connection to the upstream was cut")
		a.end(a.failureResult())
	default:
		a.err = resultcode.Errorf(resultcode.BrokenResponse, "read the response: %v", err)
		a.end(admission.Failed)
	}
}

// failureResult returns the result of an attempt whose connection failed. The failure does not count against the
// upstream if the connection was reused, because it may have failed independently of the upstream, or if a long response
// had begun, because its caller may have read slowly.
func (a *attempt) failureResult() admission.Result {
	if a.reused || a.responded {
		return admission.Neutral
	}
	return admission.Failed
}

func (a *attempt) rejectResponse(resp *http.Response, why string) {
	a.err = resultcode.Errorf(resultcode.BrokenResponse, "%s", why)
	_ = resp.Body.Close()
	a.end(admission.Failed)
}

// receive reads a small body completely. It leaves a large body, or one of unknown length, to Gateway.respond.
func (a *attempt) receive(resp *http.Response) {
	length := resp.ContentLength
	switch {
	case resp.StatusCode < http.StatusOK:
		a.rejectResponse(resp, "the response is not a final one")
		return
	case resp.StatusCode > maxStatus: // of a peer gateway; upstreamconn rejects it from an upstream
		a.rejectResponse(resp, "the response has no valid status")
		return
	case !hasBody(a.request.Method, resp.StatusCode):
		length = 0
	case length < 0 && (len(resp.TransferEncoding) == 0 || resp.TransferEncoding[0] != "chunked"):
		a.rejectResponse(resp, "the response does not state where it ends")
		return
	case length < 0 || length > maxBufferedResponse:
		a.resp = resp
		if a.fromPeer {
			return
		}
		a.service.send(event{kind: eventResponded, assignment: a.assignment, outcome: admission.Outcome{
			Latency: a.latency, Report: a.report,
		}})
		a.latency, a.report, a.responded = 0, admission.Report{}, true
		return
	}
	a.body = make([]byte, length)
	if _, err := io.ReadFull(resp.Body, a.body); err != nil {
		_ = resp.Body.Close()
		if a.ctx.Err() == nil {
			a.cut = isCut(err)
			a.err = resultcode.Errorf(resultcode.BrokenResponse, "the response body ended early")
			a.end(admission.Failed)
			return
		}
		a.responseFailed(err)
		return
	}
	finishBody(resp.Body)
	a.resp, a.complete = resp, true
	a.end(a.responseResult())
}

// finishBody reads the end of a body whose content has been read completely, so that its connection can be reused.
func finishBody(body io.ReadCloser) {
	var end [1]byte
	_, _ = body.Read(end[:])
	_ = body.Close()
}

// responseResult returns the result of an attempt with a complete response.
func (a *attempt) responseResult() admission.Result {
	if a.resp.StatusCode >= http.StatusInternalServerError {
		return admission.Failed
	}
	return admission.Succeeded
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
