package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

var errReadAfterClose = errors.New("read after close of a response body")

// exchange is one request and its response. It implements the response body.
type exchange struct {
	ctx       context.Context
	transport *transport
	request   *http.Request
	reused    bool
	sentAt    time.Time
	idleSince time.Time   // of a reused connection
	stop      func() bool // returned by context.AfterFunc
	sender    *sender
	reader    *bufio.Reader
	body
}

func (x *exchange) run() (*http.Response, error) {
	t := x.transport
	x.sentAt = time.Now()
	x.stop = context.AfterFunc(x.ctx, t.close)
	t.recordRequest(x.request.Header.Get(t.pool.opts.RequestIDHeader))
	t.in.total, t.in.err = 0, nil
	t.out.written, t.out.err = 0, nil
	x.reader = readers.Get().(*bufio.Reader)
	x.reader.Reset(&t.in)
	x.sender = newSender(x.ctx, t, x.request)
	if err := x.sender.start(); err != nil {
		return nil, x.classifyError(err)
	}
	resp, err := x.readHeader()
	if err != nil {
		return nil, x.classifyError(err)
	}
	x.sender.refuseBody()
	t.pool.recordResponse(x.sentAt, resp.Header)
	if err := x.checkHeader(resp); err != nil {
		return nil, err
	}
	x.body.begin(resp, x.reader)
	resp.Body = x
	return resp, nil
}

// readHeader returns the final response header and skips interim responses.
func (x *exchange) readHeader() (*http.Response, error) {
	in := &x.transport.in
	opts := &x.transport.pool.opts
	in.begin(opts.MaxHeaderBytes, opts.MaxHeaderLines, roomFrom(x.ctx))
	defer in.end()
	return readFinalHeader(in, x.reader, x.request, x.sender.acceptBody)
}

// checkHeader rejects a response to another request. With RequireEcho, this includes a response with an id to a request
// without one: a health check can otherwise be answered by a late second response to an earlier request. Unless the options allow it, it also rejects a response whose body is
// delimited only by the close of the connection: behind some middleboxes a broken connection looks the same.
func (x *exchange) checkHeader(resp *http.Response) error {
	opts := &x.transport.pool.opts
	want, got := x.request.Header.Get(opts.RequestIDHeader), resp.Header.Get(opts.RequestIDHeader)
	if got != want && (opts.RequireEcho || want != "" && got != "") {
		return newError(ErrMismatchedResponse, errors.Errorf("request id %q, want %q", got, want))
	}
	if endsWithConnection(resp) && !opts.AllowUnframed {
		return newError(ErrMalformedResponse, errUnframed)
	}
	return nil
}

// classifyError converts an error during the exchange to an exchangeError.
func (x *exchange) classifyError(err error) error {
	in := &x.transport.in
	if bodyErr := x.sender.bodyError(); bodyErr != nil && x.ctx.Err() == nil {
		return newError(ErrIncompleteRequest, bodyErr)
	}
	if ctxErr := x.ctx.Err(); ctxErr != nil {
		x.transport.pool.recordClosed(ClosedOnError)
		unresponsive := ctxErr == context.DeadlineExceeded && x.reused && in.total == 0 && x.sender.requestSent() &&
			x.transport.pool.recordUnresponsive(x.sentAt)
		return contextError(ctxErr, unresponsive)
	}
	if errors.Is(err, errNoRoom) {
		return newError(ErrNoRoom, err)
	}
	if in.err != nil && in.refused == nil {
		x.transport.pool.recordClosed(ClosedByPeer)
		if idle := x.sentAt.Sub(x.idleSince); x.reused && in.total == 0 && idle >= minIdleDropped {
			x.transport.pool.recordDropped(idle)
		}
		return newError(ErrConnLost, err)
	}
	return newError(ErrMalformedResponse, err)
}

func contextError(err error, unresponsive bool) error {
	kind := ErrCanceled
	if unresponsive {
		kind = ErrUnresponsive
	} else if err == context.DeadlineExceeded {
		kind = ErrTimeout
	}
	return &exchangeError{kind: kind, cause: err, context: err}
}

// discard ends the exchange and closes the connection.
func (x *exchange) discard() {
	x.stop()
	x.transport.close()
	x.sender.refuseBody()
	x.releaseReader()
}

func (x *exchange) releaseReader() {
	if x.reader != nil {
		x.reader.Reset(nil)
		readers.Put(x.reader)
		x.reader = nil
	}
}

// Read implements io.Reader for the response body.
func (x *exchange) Read(p []byte) (int, error) {
	if x.body.err != nil {
		return 0, x.body.err
	}
	n, err := x.body.read(p, x.transport.out.lost)
	if err != nil && err != io.EOF {
		x.body.err = x.classifyError(err)
		err = x.body.err
		x.transport.close()
	}
	return n, err
}

// Close implements io.Closer for the response body.
func (x *exchange) Close() error {
	if x.body.closed {
		return nil
	}
	x.body.closed = true
	if x.body.complete {
		x.sender.awaitLastWrite()
	}
	reusable := x.body.complete && x.body.keepAlive && x.sender.requestSent() && x.reader.Buffered() == 0
	if !reusable || !x.stop() { // stop returns false if the context has ended and the connection is being closed
		reason := ClosedOnError
		if !x.body.keepAlive {
			reason = ClosedByPeer
		}
		x.transport.pool.recordClosed(reason)
		x.discard()
	} else {
		x.releaseReader()
		x.transport.pool.put(x.transport, true)
	}
	if x.body.err == nil || x.body.err == io.EOF {
		x.body.err = errReadAfterClose
	}
	return nil
}
