package upstreamconn

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxInlineBody is the length up to which a request body is sent before the response is read, in bytes. It fits into the
// socket buffers, so that an upstream that answers without reading it does not block the exchange.
const maxInlineBody = 32 << 10

// lastWriteTimeout bounds the wait for the return of a write whose bytes the upstream has already answered.
const lastWriteTimeout = 100 * time.Millisecond

// sender writes one request.
type sender struct {
	transport *transport
	request   *http.Request
	body      *requestBody  // nil if sent inline
	expect    *expectBody   // nil unless the body waits for 100 Continue
	done      chan struct{} // closed when another goroutine has sent the request; nil if sent inline

	mu      sync.Mutex
	bodyErr error
}

func newSender(ctx context.Context, t *transport, r *http.Request) *sender {
	s := &sender{transport: t, request: r}
	hasBody := r.Body != nil && r.Body != http.NoBody
	expects := hasBody && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	if !expects && (!hasBody || r.ContentLength > 0 && r.ContentLength <= maxInlineBody) {
		return s
	}
	s.done = make(chan struct{})
	s.body = &requestBody{ReadCloser: r.Body, remaining: r.ContentLength}
	if r.ContentLength == 0 {
		s.body.remaining = -1 // not known
	}
	s.request = new(http.Request)
	*s.request = *r
	s.request.Body = s.body
	if expects {
		s.expect = newExpectBody(ctx, s.body)
		s.request.Body = s.expect
	}
	return s
}

// start sends the request, or starts the goroutine that does. An error of the connection is left to the reader, because
// the upstream may have answered before it closed the connection.
func (s *sender) start() error {
	if s.done == nil {
		return s.send(func(w *bufio.Writer) error { return s.request.Write(byteWriter{w}) })
	}
	go func() {
		defer close(s.done)
		if s.send(func(w *bufio.Writer) error { return s.request.Write(w) }) != nil {
			s.transport.close() // the upstream waits for the rest of the request
		}
	}()
	return nil
}

// byteWriter hides the type of the writer from http.Request.Write, which would send header and body separately.
type byteWriter struct{ *bufio.Writer }

// send returns an error if the request is at fault.
func (s *sender) send(write func(*bufio.Writer) error) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(&s.transport.out)
	err := write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	if err == nil || s.expect != nil && s.expect.wasRefused() {
		return nil
	}
	if _, connErr := s.transport.out.state(); connErr != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodyErr = err
	return err
}

func (s *sender) bodyError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodyErr
}

// awaitLastWrite waits for the last write of a request whose body was read to its end: an upstream may have answered before the
// write has returned. It does not wait for a body that is still being read.
func (s *sender) awaitLastWrite() {
	if s.done == nil || !s.body.readToEnd.Load() {
		return
	}
	timer := time.NewTimer(lastWriteTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

// requestSent reports whether the whole request was sent.
func (s *sender) requestSent() bool {
	if s.done != nil {
		select {
		case <-s.done:
		default:
			return false
		}
	}
	_, connErr := s.transport.out.state()
	return connErr == nil && s.bodyError() == nil && (s.expect == nil || !s.expect.wasRefused())
}

// acceptBody lets a body that waits for 100 Continue go.
func (s *sender) acceptBody() {
	if s.expect != nil {
		s.expect.accept()
	}
}

// refuseBody ends the wait for 100 Continue; a body that is being sent goes on.
func (s *sender) refuseBody() {
	if s.expect != nil {
		s.expect.refuse()
	}
}
