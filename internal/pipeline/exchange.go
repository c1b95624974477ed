package pipeline

import (
	"io"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/bodybuffer"
)

var errClientClosed = errors.New("client closed the connection")

// exchange is one request and its response. It implements the handler's http.ResponseWriter. Writes wait until all earlier
// responses are complete.
type exchange struct {
	conn        *conn
	request     *http.Request
	turn        <-chan struct{} // closed once all earlier responses are complete
	done        chan struct{}   // closed once this response is complete
	header      http.Header
	status      int
	closeAfter  bool
	body        io.WriteCloser // nil until the header was written and for a response without a body
	remaining   int64          // bytes of the declared length not yet written; -1 if no length was declared
	err         error
	chunked     bool             // the response is sent in chunks
	requestBody *bodybuffer.Body // nil if the request has none
	headBytes   int64            // charged for the request without its body

	mu       sync.Mutex
	ended    bool
	reserved int64 // charged by Reserve
}

// Reserve charges n bytes that the handler wants to hold until it returns. It returns false if there is no room. It may be called
// concurrently, and fails after the handler has returned.
func (x *exchange) Reserve(n int64) bool { return x.reserve(n, x.conn.tryCharge) }

func (x *exchange) reserve(n int64, charge func(n int64) bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended || !charge(n) {
		return false
	}
	x.reserved += n
	return true
}

// UnreadFor returns how long a response on the connection has been waiting to be read by the client.
func (x *exchange) UnreadFor(now time.Time) time.Duration { return x.conn.holder.WritingFor(now) }

// Displace closes the connection if its client is slow, to make room for others, and reports whether it did.
func (x *exchange) Displace(now time.Time) bool {
	displaced := x.conn.holder.EvictSlow(now)
	if displaced {
		x.conn.holder.CloseConn()
	}
	return displaced
}

// releaseAll returns everything that is charged for the request.
func (x *exchange) releaseAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	x.conn.holder.Release(x.headBytes + x.reserved)
	_ = x.request.Body.Close() // an error concerns only the reading of what is not read any more
	x.requestBody.Release()
}

// handle runs the handler and completes the response.
func (x *exchange) handle() {
	defer x.conn.responseDone()
	defer x.releaseAll()
	defer close(x.done)
	defer func() {
		if p := recover(); p != nil {
			x.conn.abort()
			if p != http.ErrAbortHandler && x.conn.server.OnPanic != nil {
				x.conn.server.OnPanic(p, debug.Stack())
			}
		}
	}()
	x.header = make(http.Header)
	x.conn.server.Handler.ServeHTTP(x, x.request)
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	x.finishResponse()
}

// finishResponse completes the response, or aborts the connection if that fails.
func (x *exchange) finishResponse() {
	if x.err == nil && x.body != nil {
		x.err = x.body.Close()
	}
	if x.err == nil && x.chunked {
		_, x.err = io.WriteString(x.conn.writer, "\r\n") // empty trailer section
	}
	if x.err == nil && x.remaining > 0 {
		x.err = errors.Errorf("response is %d bytes shorter than its declared length", x.remaining)
	}
	if x.err == nil {
		x.err = x.conn.writer.Flush()
	}
	if x.err != nil {
		x.conn.abort()
	}
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status != 0 {
		return
	}
	x.status = status
	select {
	case <-x.turn:
	case <-x.conn.ctx.Done():
		x.err = errClientClosed
		return
	}
	if x.conn.ctx.Err() != nil {
		x.err = errClientClosed
		return
	}
	x.err = x.writeHeader()
}

func (x *exchange) writeHeader() error {
	x.conn.writeUntil, x.conn.written = time.Now().Add(writeTimeout), 0
	closeRequested := x.header.Get("Connection") == "close"
	x.header.Del("Connection")
	x.closeAfter = x.conn.closesAfter(x, closeRequested)
	if x.closeAfter {
		x.header.Set("Connection", "close")
	}
	hasBody := x.request.Method != http.MethodHead && x.status >= 200 && x.status != http.StatusNoContent && x.status != http.StatusNotModified
	x.remaining = -1
	if length, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil {
		x.remaining = length
	} else if hasBody && x.request.ProtoAtLeast(1, 1) {
		// Otherwise the close of the connection ends the body.
		x.chunked = true
		x.header.Set("Transfer-Encoding", "chunked")
	}
	out := x.conn.writer
	if _, err := io.WriteString(out, "HTTP/1.1 "+strconv.Itoa(x.status)+" "+http.StatusText(x.status)+"\r\n"); err != nil {
		return err
	}
	if err := x.header.Write(out); err != nil {
		return err
	}
	if _, err := io.WriteString(out, "\r\n"); err != nil {
		return err
	}
	switch {
	case !hasBody:
		x.remaining = 0
	case x.chunked:
		x.body = httputil.NewChunkedWriter(out)
	default:
		x.body = fixedLengthBody{out}
	}
	return nil
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if x.err != nil {
		return 0, x.err
	}
	if x.body == nil || len(p) == 0 {
		return len(p), nil
	}
	if x.remaining >= 0 {
		if int64(len(p)) > x.remaining {
			return 0, http.ErrContentLength
		}
		x.remaining -= int64(len(p))
	}
	n, err := x.body.Write(p)
	x.err = err
	return n, err
}

// fixedLengthBody writes a body whose length was declared, or that the close of the connection ends.
type fixedLengthBody struct{ io.Writer }

// Close implements io.Closer.
func (fixedLengthBody) Close() error { return nil }
