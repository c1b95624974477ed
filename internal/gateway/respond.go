package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bramleypick/bramleypick/admission"
	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/hopheader"
	"github.com/bramleypick/bramleypick/resultcode"
)

// copyBufferSize is the size of the buffer for one streamed response, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// replay holds a recorded response.
type replay struct {
	response *controlstate.RecordedResponse
}

// respond writes the response of an attempt to the caller.
func (g *Gateway) respond(c *call, a *attempt) error {
	defer a.discard()
	if a.replay != nil {
		return c.writeReplay(a.replay.response)
	}
	if a.claimID != 0 {
		if err := g.recordResponse(c, a); err != nil {
			return err
		}
	}
	if a.complete {
		return c.writeComplete(a)
	}
	return g.stream(c, a)
}

// copyHeader copies a response header to the caller except for fields that concern only the connection or the gateway.
// If the caller is a peer gateway, it adds the number of free slots.
func copyHeader(c *call, from http.Header) {
	hopheader.Remove(from)
	to := c.w.Header()
	if c.forwarded {
		to.Set(headerFreeSlots, strconv.FormatInt(c.serviceView.service.lastFreeSlots.Load(), 10))
	}
	for name, values := range from {
		if !strings.HasPrefix(name, "Bramleypick-") {
			to[name] = values
		}
	}
}

// copyHeader copies the response header to the caller. The result code and replay header are accepted from a peer
// gateway, but not from an upstream.
func (a *attempt) copyHeader() {
	copyHeader(a.c, a.resp.Header)
	if !a.fromPeer {
		return
	}
	for _, name := range [...]string{headerCode, headerReplayed} {
		if value := a.resp.Header.Get(name); value != "" {
			a.c.w.Header().Set(name, value)
		}
	}
}

func (c *call) writeReplay(response *controlstate.RecordedResponse) error {
	copyHeader(c, http.Header(response.Header).Clone()) // Other requests may be replaying the same response concurrently.
	c.w.Header().Set(headerReplayed, "1")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	c.w.WriteHeader(response.Status)
	_, _ = c.w.Write(response.Body) // If the caller has disconnected, it can resend the request.
	return nil
}

func (c *call) writeComplete(a *attempt) error {
	a.copyHeader()
	if hasBody(c.r.Method, a.resp.StatusCode) {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.resp.StatusCode)
	if len(a.body) > 0 {
		_, _ = c.w.Write(a.body) // Ignored: the upstream has completed the request, even if the caller has disconnected.
	}
	return nil
}

// recordResponse records the response of a claimed request before the caller gets any of it. If the control group does
// not confirm the record within claimConfirmTimeout, the caller gets the response all the same.
func (g *Gateway) recordResponse(c *call, a *attempt) error {
	if !a.complete {
		if err := a.readForRecording(); err != nil {
			g.finishClaim(c, a, nil)
			return err
		}
	}
	response := &controlstate.RecordedResponse{Status: a.resp.StatusCode}
	if a.complete {
		response.Body = a.body
		response.Header = make(map[string][]string, len(a.resp.Header))
		hopheader.Remove(a.resp.Header)
		for name, values := range a.resp.Header {
			if !strings.HasPrefix(name, "Bramleypick-") {
				response.Header[name] = values
			}
		}
	} else {
		response.TooLarge = true
	}
	g.finishClaim(c, a, response)
	return nil
}

// readForRecording reads a body of unknown size up to the size limit of recorded responses. A body that is known to
// exceed the limit is not read.
func (a *attempt) readForRecording() error {
	if a.resp.ContentLength > maxBufferedResponse {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxBufferedResponse+1))
	if err != nil {
		return a.bodyFailed(err)
	}
	a.body = body
	if len(body) <= maxBufferedResponse {
		finishBody(a.resp.Body)
		a.complete = true
		a.end(a.responseResult())
	}
	return nil
}

// bodyFailed ends an attempt whose response body ended before it was complete.
func (a *attempt) bodyFailed(err error) error {
	if a.ctx.Err() == nil {
		a.cut = isCut(err)
		a.err = resultcode.Errorf(resultcode.BrokenResponse, "the response body broke off")
		a.end(admission.Failed)
	} else {
		a.responseFailed(err)
	}
	return a.err
}

// stream copies a long response with bounded memory. If the body fails after its first part, the connection to the
// caller is aborted, so that the response cannot be taken for complete.
func (g *Gateway) stream(c *call, a *attempt) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	body := io.MultiReader(bytes.NewReader(a.body), a.resp.Body)
	n, err := body.Read(*buffer)
	if err != nil && err != io.EOF {
		return a.bodyFailed(err)
	}
	a.copyHeader()
	if length := a.resp.ContentLength; length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(c.deadline)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	c.w.WriteHeader(a.resp.StatusCode)
	total := int64(0)
	for {
		total += int64(n)
		if n > 0 {
			if _, werr := c.w.Write((*buffer)[:n]); werr != nil {
				a.end(admission.Neutral)
				panic(http.ErrAbortHandler)
			}
			if a.resp.ContentLength < 0 {
				_ = control.Flush()
			}
		}
		if err != nil {
			break
		}
		n, err = body.Read(*buffer)
	}
	if err != io.EOF || (a.resp.ContentLength >= 0 && total != a.resp.ContentLength) {
		g.metrics.increment(c.serviceView.config.Name, "aborted_responses")
		_ = a.bodyFailed(err)
		panic(http.ErrAbortHandler)
	}
	a.complete = true
	_ = a.resp.Body.Close()
	a.end(a.responseResult())
	return nil
}
