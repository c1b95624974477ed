package pipeline

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/bodybuffer"
	"github.com/bramleypick/bramleypick/internal/clientbudget"
)

const (
	// maxPending is the default of Server.MaxPending.
	maxPending = 32
	// writeTimeout limits the time to write a response, so that a client that does not read cannot keep the connection open. A response
	// gets more time while the client reads it.
	writeTimeout = 20 * time.Second
	// lastRequestTime is how long an idle connection waits for a request that its client sent just before a shutdown.
	lastRequestTime = 100 * time.Millisecond
	// lingerTimeout limits how long further data is read after the last response. Closing a connection with unread data
	// resets it, and the client could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// maxDiscarded limits the data in bytes that is read after the last request while its response is pending.
	maxDiscarded = 64 << 10
)

// conn is one client connection. One goroutine reads the requests, and one goroutine per request runs the handler.
type conn struct {
	server  *Server
	netConn net.Conn
	ctx     context.Context
	cancel  context.CancelFunc
	reader  *bufio.Reader
	limit   headerLimitReader
	// The exchange whose response is due uses writer, writeUntil (when the response must be written, without what the client has read) and
	// written (the bytes of the response that the client has taken).
	writer     *bufio.Writer
	writeUntil time.Time
	written    int64

	mu        sync.Mutex
	accepting bool          // further requests are accepted
	draining  bool          // at most one more request is accepted, and only if it arrives soon
	reading   bool          // the first byte of a request has arrived
	readUntil time.Time     // when the request that is being read must have arrived, without its body
	pending   int           // accepted requests whose response is not complete
	last      *exchange     // most recently accepted request
	completed chan struct{} // signals that a response or a write was completed
	aborted   bool

	holder *clientbudget.Holder
	// headBytes are charged to holder for the request that is being read; used only by the reading goroutine.
	headBytes int64
	body      bodyReader // of the request that is being read; used only by the reading goroutine
	// requestBody is that of a request that was read and not accepted yet; used only by the reading goroutine.
	requestBody *bodybuffer.Body
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, netConn: raw, accepting: true, completed: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.body.conn = c
	c.limit = headerLimitReader{conn: raw, remaining: -1, maxLines: s.MaxHeaderLines, charge: c.chargeHead}
	c.reader = bufio.NewReaderSize(&c.limit, 2<<10)
	c.writer = bufio.NewWriterSize(clientWriter{c}, 2<<10)
	return c
}

// serve reads requests until the client closes the connection or no more are accepted.
func (c *conn) serve() {
	defer c.netConn.Close()
	defer c.cancel()
	var handlers sync.WaitGroup
	first := make(chan struct{})
	close(first)
	turn := (<-chan struct{})(first)
	for c.awaitCapacity() {
		r, err := c.read(turn)
		if err != nil {
			c.handleReadError(err, turn)
			break
		}
		x := c.accept(r, turn)
		if x == nil {
			c.requestBody.Release()
			break
		}
		turn = x.done
		handlers.Go(x.handle)
	}
	c.body.release()
	c.holder.Release(c.headBytes)
	c.awaitClose()
	handlers.Wait()
	c.linger()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// awaitCapacity waits while the largest number of requests is pending, and while a response waits to be read by the client. It
// returns false if no more requests are accepted.
func (c *conn) awaitCapacity() bool {
	limit := cmp.Or(c.server.MaxPending, maxPending)
	for {
		c.mu.Lock()
		accepting, pending := c.accepting, c.pending
		c.mu.Unlock()
		if !accepting {
			return false
		}
		if pending < limit && !c.responseUnread() {
			return true
		}
		<-c.completed
	}
}

// read reads one request including its body.
func (c *conn) read(turn <-chan struct{}) (*http.Request, error) {
	s := c.server
	if err := c.awaitRequest(); err != nil {
		return nil, err
	}
	if !c.chargeHead(requestBytes) {
		return nil, errNoRoom
	}
	c.limit.begin(s.MaxHeaderBytes, c.reader)
	r, err := http.ReadRequest(c.reader)
	c.limit.end()
	if c.limit.err != nil { // the parser may report what it made of the beginning
		err = c.limit.err
	}
	if err != nil {
		return nil, err
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return nil, errors.New("missing Host header")
	}
	if r.ContentLength == 0 {
		return r, nil
	}
	if c.body.limit = s.bodyLimit(r); c.body.limit < 0 {
		r.Body, r.Close = unreadBody{}, true
		return r, nil
	}
	return r, c.readBody(r, turn)
}

// awaitRequest waits for the first byte of a request and sets the deadline for the rest.
func (c *conn) awaitRequest() error {
	c.mu.Lock()
	err := c.setIdleDeadline()
	c.mu.Unlock()
	if err != nil {
		return err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	for c.responseUnread() {
		<-c.completed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.updateState()
	c.readUntil = time.Now().Add(c.server.ReadTimeout)
	return c.netConn.SetReadDeadline(c.readUntil)
}

// extendRead moves the deadline of a request whose body has arrived up to some length in bytes. It leaves that of a connection on which
// no more requests are accepted, whose read may have been interrupted.
func (c *conn) extendRead(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepting {
		// An error means that the connection is closed already.
		_ = c.netConn.SetReadDeadline(c.readUntil.Add(timeAtMinRate(length)))
	}
}

// setIdleDeadline sets the deadline for the first byte of the next request. The caller holds mu.
func (c *conn) setIdleDeadline() error {
	wait := c.server.IdleTimeout
	if c.draining {
		wait = min(wait, lastRequestTime)
	}
	return c.netConn.SetReadDeadline(time.Now().Add(wait))
}

func (c *conn) readBody(r *http.Request, turn <-chan struct{}) error {
	err := c.bufferBody(r, turn)
	if errors.Is(err, errBodiesTooLarge) && c.server.OnBodyRefused != nil {
		c.server.OnBodyRefused(r)
	}
	return err
}

func (c *conn) bufferBody(r *http.Request, turn <-chan struct{}) error {
	if err := c.body.reserve(r.ContentLength); err != nil {
		return err
	}
	if r.Header.Get("Expect") == "100-continue" {
		<-turn // an interim response must not overtake earlier responses
		if _, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	body, err := c.body.read(&bodyProgress{from: r.Body, conn: c}, r.ContentLength)
	if err != nil {
		return err
	}
	c.requestBody = body
	r.Body, r.ContentLength, r.TransferEncoding = body.NewReader(), body.Len(), nil
	return nil
}

// accept registers r as the most recent request of the connection, or returns nil if no more are accepted.
func (c *conn) accept(r *http.Request, turn <-chan struct{}) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.accepting {
		return nil
	}
	if r.Close || !r.ProtoAtLeast(1, 1) || c.draining {
		c.accepting = false
	}
	c.reading = false
	c.pending++
	c.updateState()
	c.last = &exchange{
		conn: c, request: r.WithContext(c.ctx), turn: turn, done: make(chan struct{}), requestBody: c.requestBody, headBytes: c.headBytes,
	}
	c.requestBody, c.headBytes = nil, 0
	return c.last
}

// closesAfter reports whether the connection closes after the response of x. It does if no more requests are accepted and x
// is the last one. With closeRequested, or on a draining connection, it first stops accepting requests.
func (c *conn) closesAfter(x *exchange, closeRequested bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closeRequested || c.draining && c.last == x {
		c.accepting = false
	}
	return !c.accepting && c.last == x
}

// responseDone records a completed response. If it was the last one, it interrupts a read that waits for another request.
func (c *conn) responseDone() {
	c.mu.Lock()
	c.pending--
	c.updateState()
	last := c.pending == 0 && !c.accepting
	if c.draining && c.pending == 0 && c.accepting && !c.reading {
		_ = c.setIdleDeadline() // an error means that the connection is closed already
	}
	c.mu.Unlock()
	c.signalCapacity()
	if last {
		c.interruptRead()
	}
}

// signalCapacity wakes awaitCapacity.
func (c *conn) signalCapacity() {
	select {
	case c.completed <- struct{}{}:
	default:
	}
}

// interruptRead ends a read that waits for a request.
func (c *conn) interruptRead() {
	// The error is ignored: the connection may be closed already.
	_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
}

// abort resets the connection, so that an incomplete response does not look complete to the client.
func (c *conn) abort() {
	c.mu.Lock()
	c.accepting, c.aborted = false, true
	c.mu.Unlock()
	c.cancel()
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close reset the connection
	}
	c.netConn.Close()
}
