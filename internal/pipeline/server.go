package pipeline

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/bodybuffer"
	"github.com/bramleypick/bramleypick/internal/clientbudget"
)

// Server is an HTTP/1.1 server. The exported fields must be set before Serve is called. They have no defaults: a zero timeout
// expires immediately.
type Server struct {
	// Handler handles the requests. It is called concurrently, also for requests of the same connection.
	Handler http.Handler
	// IdleTimeout limits the wait for the first byte of the next request.
	IdleTimeout time.Duration
	// ReadTimeout limits the time from the first byte of a request to its last. A body gets more time while it arrives at a rate of 16
	// KiB/s or more.
	ReadTimeout time.Duration
	// MaxHeaderBytes limits the size of a request header, in bytes.
	MaxHeaderBytes int64
	// MaxHeaderLines limits the lines of a request header. Zero means no limit.
	MaxHeaderLines int
	// MaxPending limits the requests of one connection that are handled concurrently. Zero means the default of 32.
	MaxPending int
	// MaxConnections limits the open connections. Beyond it, a new connection displaces one without a running request, or is
	// closed. Zero means no limit.
	MaxConnections int
	// Budget limits what the connections hold together with those of other servers. A request that finds no room gets 503 before
	// the handler runs. Nil means no limit.
	Budget *clientbudget.Budget
	// LargeShare is the share of Budget that large requests may use. Zero means the default of 0.8.
	LargeShare float64
	// RefusalBody is the JSON body of the 503 for lack of room. It may be nil.
	RefusalBody []byte
	// OnRefused is called when a request is refused before the handler runs, with the status of the response. It may be nil, and must
	// not block.
	OnRefused func(client net.Addr, status int)
	// OnDisplaced is called when a connection that holds some bytes is closed to make room for others. It may be nil, and must not
	// block.
	OnDisplaced func(client net.Addr, held int64)
	// Bodies keeps the memory of bodies that have ended for further ones. Servers may share it. Nil means one of its own.
	Bodies *bodybuffer.Pool
	// MaxBodyBytes limits the size of a request body in bytes, which is read into memory before the handler runs.
	MaxBodyBytes int64
	// BodyLimit returns a limit below MaxBodyBytes for the body of a request, or a negative number if the handler refuses the request
	// because of its header. Then the handler is called without the body, and the connection is closed after the response. Nil means
	// MaxBodyBytes.
	BodyLimit func(r *http.Request) int64
	// MaxBufferedBytes limits the bodies of all requests in flight together, in bytes. A request whose body does not fit gets 503
	// before the handler runs. Zero means no limit.
	MaxBufferedBytes int64
	// OnBodyRefused is called with a request that was refused because of MaxBufferedBytes. It may be nil.
	OnBodyRefused func(r *http.Request)
	// OnPanic is called after a handler panicked with a value other than http.ErrAbortHandler. The connection is closed in
	// both cases. It may be nil.
	OnPanic func(value any, stack []byte)

	mu       sync.Mutex
	closing  bool
	listener net.Listener
	stopped  chan struct{} // closed when Serve accepts no more connections
	conns    map[*conn]struct{}
	active   sync.WaitGroup
	bodies   byteBudget
	group    *clientbudget.Group
	waiters  atomic.Int32 // connections that wait for room in Budget
}

// backlogTime is how long connections are still accepted after the start of a shutdown. Closing a listener resets the
// connections in its backlog, whose clients may already have sent a request.
const backlogTime = 20 * time.Millisecond

// Serve accepts connections until Shutdown is called or the listener fails. After Shutdown it returns http.ErrServerClosed.
// It must be called only once.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		listener.Close()
		return http.ErrServerClosed
	}
	s.listener, s.conns, s.stopped = listener, make(map[*conn]struct{}), make(chan struct{})
	if s.Budget == nil {
		s.Budget = clientbudget.New(0)
	}
	if s.Bodies == nil {
		s.Bodies = &bodybuffer.Pool{}
	}
	s.group = s.Budget.NewGroup(s.MaxConnections, cmp.Or(s.LargeShare, largeShare))
	s.mu.Unlock()
	defer close(s.stopped)
	defer listener.Close()
	for {
		raw, err := listener.Accept()
		if err != nil {
			if s.isClosing() {
				return http.ErrServerClosed
			}
			if retryAccept(err) {
				continue
			}
			return errors.Wrap(err, "accept")
		}
		c := newConn(s, raw)
		if !c.open() {
			c.abort()
			continue
		}
		s.add(c)
		go func() {
			defer s.remove(c)
			c.serve()
		}()
	}
}

// retryAccept reports whether Accept may succeed later. If the process is out of file descriptors or the client aborted the
// connection, it first waits for 5 ms, so that Serve does not retry in a busy loop.
func retryAccept(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return true
	}
	const pause = 5 * time.Millisecond
	if isTransientAcceptError(err) {
		time.Sleep(pause)
		return true
	}
	return false
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.draining = s.closing // c is not shared yet
	s.conns[c] = struct{}{}
	s.active.Add(1)
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	c.holder.Close()
	s.active.Done()
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	err := s.Shutdown(canceled)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close() // an error means that it is closed already
	}
	for c := range s.conns {
		c.netConn.Close()
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and requests. Requests that clients have sent by then are still accepted. It
// returns once every accepted request has its response, or with the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	var err error
	if s.listener != nil && !s.closing {
		err = stopAccepting(s.listener)
	}
	s.closing = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	stopped := s.stopped
	s.mu.Unlock()
	for _, c := range conns {
		c.drain()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if stopped != nil {
			<-stopped
		}
		s.active.Wait()
	}()
	select {
	case <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stopAccepting makes Accept fail after backlogTime, or immediately if the listener has no deadlines.
func stopAccepting(l net.Listener) error {
	if withDeadline, ok := l.(interface{ SetDeadline(time.Time) error }); ok {
		return withDeadline.SetDeadline(time.Now().Add(backlogTime))
	}
	return l.Close()
}
