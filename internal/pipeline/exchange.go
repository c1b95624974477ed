package pipeline

import (
	"io"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

var errClientLeft = errors.New("the client closed the connection")

// exchange is one request and its answer. It is the handler's http.ResponseWriter; writing waits for the request's turn.
type exchange struct {
	conn    *conn
	request *http.Request
	turn    <-chan struct{} // closed once all earlier requests are answered
	done    chan struct{}   // closed once this one is
	header  http.Header
	status  int
	closes  bool
	body    io.WriteCloser // nil until the header was written, or where the answer has no body
	left    int64          // of the declared length; -1 if there is none
	err     error
}

// handle runs the handler and completes the answer.
func (x *exchange) handle() {
	defer x.conn.finished()
	defer close(x.done)
	defer func() {
		if p := recover(); p != nil {
			x.conn.abort()
			if p != http.ErrAbortHandler && x.conn.server.Panicked != nil {
				x.conn.server.Panicked(p, debug.Stack())
			}
		}
	}()
	x.header = make(http.Header)
	x.conn.server.Handler.ServeHTTP(x, x.request)
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	x.end()
}

// end completes the answer, or ends the connection if that is not possible.
func (x *exchange) end() {
	if x.err == nil && x.body != nil {
		x.err = x.body.Close()
	}
	if x.err == nil && x.body != nil && x.left < 0 {
		_, x.err = io.WriteString(x.conn.out, "\r\n") // the end of the trailer
	}
	if x.err == nil && x.left > 0 {
		x.err = errors.New("the answer is shorter than declared")
	}
	if x.err == nil {
		x.err = x.conn.out.Flush()
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
		x.err = errClientLeft
		return
	}
	if x.conn.ctx.Err() != nil {
		x.err = errClientLeft
		return
	}
	x.err = x.writeHeader()
}

func (x *exchange) writeHeader() error {
	if err := x.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	wantsClose := x.header.Get("Connection") == "close"
	x.header.Del("Connection")
	x.closes = x.conn.closesBehind(x, wantsClose)
	if x.closes {
		x.header.Set("Connection", "close")
	}
	hasBody := x.request.Method != http.MethodHead && x.status >= 200 && x.status != http.StatusNoContent && x.status != http.StatusNotModified
	x.left = -1
	if length, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil {
		x.left = length
	} else if hasBody {
		x.header.Set("Transfer-Encoding", "chunked")
	}
	out := x.conn.out
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
		x.left = 0
	case x.left >= 0:
		x.body = plainBody{out}
	default:
		x.body = httputil.NewChunkedWriter(out)
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
	if x.left >= 0 {
		if int64(len(p)) > x.left {
			return 0, http.ErrContentLength
		}
		x.left -= int64(len(p))
	}
	n, err := x.body.Write(p)
	x.err = err
	return n, err
}

// plainBody writes a body of declared length.
type plainBody struct{ io.Writer }

// Close implements io.Closer.
func (plainBody) Close() error { return nil }
