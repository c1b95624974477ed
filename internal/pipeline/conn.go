package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxPending bounds the requests of one connection that are handled at a time.
	maxPending = 32
	// writeTimeout ends a connection whose client does not read.
	writeTimeout = 20 * time.Second
	// lingerTimeout bounds the reading of what a client still sends behind the last answer: closing a connection with unread
	// bytes resets it, and the client could lose the answer.
	lingerTimeout = 500 * time.Millisecond
)

var errHeaderTooLarge = errors.New("request header is too large")

// conn is one client connection. One goroutine reads requests; each request has one more.
type conn struct {
	server *Server
	raw    net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	in     *bufio.Reader
	limit  headerLimit
	out    *bufio.Writer // used by the request whose turn it is

	mu       sync.Mutex
	taking   bool // whether further requests are taken
	pending  int
	last     *exchange // the request taken last
	answered chan struct{}
	broken   bool
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, taking: true, answered: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.limit = headerLimit{conn: raw, left: -1}
	c.in = bufio.NewReaderSize(&c.limit, 2<<10)
	c.out = bufio.NewWriterSize(raw, 2<<10)
	return c
}

// serve reads requests until the client closes the connection or no more are taken.
func (c *conn) serve() {
	defer c.raw.Close()
	defer c.cancel()
	var handlers sync.WaitGroup
	first := make(chan struct{})
	close(first)
	turn := (<-chan struct{})(first)
	for c.wanted() {
		r, err := c.read(turn)
		if err != nil {
			c.ended(err, turn)
			break
		}
		x := c.take(r, turn)
		if x == nil {
			break
		}
		turn = x.done
		handlers.Go(x.handle)
	}
	handlers.Wait()
	c.linger()
}

// wanted waits until another request may be taken, and returns false if none is.
func (c *conn) wanted() bool {
	for {
		c.mu.Lock()
		taking, pending := c.taking, c.pending
		c.mu.Unlock()
		if !taking {
			return false
		}
		if pending < maxPending {
			return true
		}
		<-c.answered
	}
}

// read reads one request with its body.
func (c *conn) read(turn <-chan struct{}) (*http.Request, error) {
	s := c.server
	if err := c.raw.SetReadDeadline(time.Now().Add(s.IdleTimeout)); err != nil {
		return nil, err
	}
	if _, err := c.in.Peek(1); err != nil {
		return nil, err
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(s.HeaderTimeout)); err != nil {
		return nil, err
	}
	c.limit.left = s.MaxHeaderBytes
	r, err := http.ReadRequest(c.in)
	c.limit.left = -1
	if err != nil {
		return nil, err
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return nil, errors.New("missing Host")
	}
	if r.ContentLength == 0 {
		return r, nil
	}
	return r, c.readBody(r, turn)
}

func (c *conn) readBody(r *http.Request, turn <-chan struct{}) error {
	if r.Header.Get("Expect") == "100-continue" {
		<-turn // interim responses keep the order too
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, c.server.MaxBodyBytes+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > c.server.MaxBodyBytes {
		return &http.MaxBytesError{Limit: c.server.MaxBodyBytes}
	}
	r.Body, r.ContentLength, r.TransferEncoding = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
	return nil
}

// take makes r the last request of the connection, or returns nil if no more are taken.
func (c *conn) take(r *http.Request, turn <-chan struct{}) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.taking {
		return nil
	}
	if r.Close || !r.ProtoAtLeast(1, 1) {
		c.taking = false
	}
	c.pending++
	c.last = &exchange{conn: c, request: r.WithContext(c.ctx), turn: turn, done: make(chan struct{})}
	return c.last
}

// ended handles the end of reading: the client left, or sent something that is no request.
func (c *conn) ended(err error, turn <-chan struct{}) {
	c.mu.Lock()
	wasTaking := c.taking
	c.taking = false
	c.mu.Unlock()
	status := 0
	var tooLong *http.MaxBytesError
	switch {
	case !wasTaking:
		return // finish or a closing answer ended the reading
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &tooLong):
		status = http.StatusRequestEntityTooLarge
	case isConnectionError(err):
		c.cancel()
		return
	default:
		status = http.StatusBadRequest
	}
	select {
	case <-turn:
	case <-c.ctx.Done():
		return
	}
	c.refuse(status)
}

func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}

// refuse answers what was not a request, behind the other answers.
func (c *conn) refuse(status int) {
	resp := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{}, Body: http.NoBody,
	}
	// The client may be gone; then there is nobody to tell.
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = resp.Write(c.raw)
}

// closesBehind decides whether the connection ends behind the answer of x: it does if no more requests are taken and x is the
// last one. With want no more are taken from now on.
func (c *conn) closesBehind(x *exchange, want bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if want {
		c.taking = false
	}
	return !c.taking && c.last == x
}

// finished counts an answered request. Once the last one is answered, a reader that waits for another is woken.
func (c *conn) finished() {
	c.mu.Lock()
	c.pending--
	over := c.pending == 0 && !c.taking
	c.mu.Unlock()
	select {
	case c.answered <- struct{}{}:
	default:
	}
	if over {
		c.wake()
	}
}

// wake ends a read that waits for a request.
func (c *conn) wake() {
	// The connection may be closed already.
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

// abort closes the connection at once, so that an incomplete answer does not look complete.
func (c *conn) abort() {
	c.mu.Lock()
	c.taking, c.broken = false, true
	c.mu.Unlock()
	c.cancel()
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a reset, not an orderly end
	}
	c.raw.Close()
}

// finish takes no further request; an idle connection is closed.
func (c *conn) finish() {
	c.mu.Lock()
	c.taking = false
	idle := c.pending == 0
	c.mu.Unlock()
	if idle {
		c.wake()
	}
}

// linger ends the connection in order after the last answer.
func (c *conn) linger() {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	tcp, ok := c.raw.(*net.TCPConn)
	if broken || !ok || c.ctx.Err() != nil || tcp.CloseWrite() != nil {
		return
	}
	if c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		// Whatever the client still sends is not a request that was taken.
		_, _ = io.Copy(io.Discard, c.raw)
	}
}

// headerLimit bounds what is read while left is not negative.
type headerLimit struct {
	conn net.Conn
	left int64
}

// Read implements io.Reader.
func (l *headerLimit) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeaderTooLarge
	}
	if l.left > 0 && int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.conn.Read(p)
	if l.left > 0 {
		l.left -= int64(n)
	}
	return n, err
}
