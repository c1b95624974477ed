package nodelink

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// PingInterval is the time without other outgoing frames after which a ping is sent.
	PingInterval = 400 * time.Millisecond
	// IdleTimeout is the time without incoming frames after which a link is closed. It also bounds a single write. It allows
	// for two lost pings and a retransmission. After a partition all processes must recover within 3 s; this timeout leaves
	// half of that to open a new link.
	IdleTimeout = 1500 * time.Millisecond
	// sendQueueLength bounds the frames that wait to be written. A link whose queue is full is closed.
	sendQueueLength = 512
)

var (
	// ErrClosed is returned by calls that were pending when the link closed. It is unknown whether the callee handled them.
	ErrClosed = errors.New("link is closed")
	// ErrNotSent is returned for a call that was not sent.
	ErrNotSent       = errors.New("call was not sent")
	errDisplaced     = errors.New("displaced by a newer link, because the other process has sent nothing")
	errNoRoom        = errors.New("the frames of all links take too much memory")
	errSendQueueFull = errors.New("send queue is full: the other process does not read from the link")
)

// RemoteError is an error returned by the callee.
type RemoteError struct{ Message string }

// Error returns the callee's error text.
func (e *RemoteError) Error() string { return e.Message }

// Link is a connection to another process. It is safe for concurrent use.
type Link struct {
	// Remote is the dialed address, or the address from which the other process connected.
	Remote string
	// Dialed is true if this process opened the link.
	Dialed bool
	// Traffic counts the bytes of the link.
	Traffic Traffic

	conn      net.Conn
	handler   Handler
	sendQueue chan []byte
	// enqueued and written count the bytes of frames that were put into sendQueue, and of those among them that were written.
	enqueued, written atomic.Int64
	wrote             chan struct{} // signals that a frame was written
	done              chan struct{}
	closeOnce         sync.Once
	closeErr          error

	mu           sync.Mutex
	lastCallID   uint64
	pendingCalls map[uint64]chan frame
	callSlots    chan struct{}
	replying     chan struct{}  // held by the call whose large reply is in the queue
	largeReplies atomic.Int64   // that wait or are in the queue
	accepted     *acceptedLinks // nil if this process opened the link
	opened       bool           // used only by the goroutine of run
	identified   bool           // the other process has sent a frame; guarded by accepted.mu
}

func newLink(conn net.Conn, remote string, dialed bool, handler Handler) *Link {
	return &Link{
		Remote: remote, Dialed: dialed, conn: conn, handler: handler, sendQueue: make(chan []byte, sendQueueLength),
		wrote: make(chan struct{}, 1), replying: make(chan struct{}, 1), done: make(chan struct{}),
		pendingCalls: make(map[uint64]chan frame), callSlots: make(chan struct{}, maxConcurrentCalls),
	}
}

// run serves the link until it closes, and returns the cause.
func (l *Link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { l.close(ctx.Err()) })
	defer stop()
	if l.Dialed {
		l.open()
	}
	var writer sync.WaitGroup
	writer.Go(l.writeLoop)
	l.readLoop(ctx)
	writer.Wait()
	if l.opened {
		l.handler.Closed(l, l.closeErr)
	}
	return l.closeErr
}

func (l *Link) open() {
	l.opened = true
	l.handler.Opened(l)
}

func (l *Link) close(cause error) {
	l.closeOnce.Do(func() {
		l.closeErr = cause
		close(l.done)
		l.conn.Close()
	})
}

// Close closes the link.
func (l *Link) Close() { l.close(ErrClosed) }

// Done returns a channel that is closed when the link closes.
func (l *Link) Done() <-chan struct{} { return l.done }

func (l *Link) writeLoop() {
	ping, err := frame{Kind: framePing}.encode()
	if err != nil {
		panic(err) // cannot fail: the ping frame is constant
	}
	idle := time.NewTimer(PingInterval)
	defer idle.Stop()
	if l.Dialed {
		idle.Reset(0) // the other process handles the link from the first frame on
	}
	for {
		data, queued := ping, 0
		select {
		case data = <-l.sendQueue:
			queued = len(data)
		case <-idle.C:
			l.Traffic.countSent(&frame{Kind: framePing}, len(ping))
		case <-l.done:
			return
		}
		if err := l.conn.SetWriteDeadline(time.Now().Add(IdleTimeout)); err != nil {
			l.close(err)
			return
		}
		if _, err := l.conn.Write(data); err != nil {
			l.close(err)
			return
		}
		l.written.Add(int64(queued))
		select {
		case l.wrote <- struct{}{}:
		default:
		}
		idle.Reset(PingInterval)
	}
}

func (l *Link) readLoop(ctx context.Context) {
	in := bufio.NewReader(l.conn)
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
			l.close(err)
			return
		}
		f, reserved, err := l.readFrame(in)
		if err != nil {
			l.accepted.release(reserved)
			l.close(err)
			return
		}
		l.Traffic.countReceived(&f, f.size)
		if f.Kind == frameCall {
			l.serveCall(ctx, f, reserved)
			continue
		}
		switch f.Kind {
		case frameMessage:
			l.handler.Receive(l, f.Method, f.Body)
		case frameReply:
			l.deliverReply(f)
		}
		l.accepted.release(reserved)
	}
}

// readFrame reads a frame and returns the bytes that are reserved for it. The first frame of an accepted link opens it, so that a
// connection that sends none costs little.
func (l *Link) readFrame(in *bufio.Reader) (f frame, reserved int64, err error) {
	take := func(n int64) bool {
		if !l.accepted.take(n) {
			return false
		}
		reserved += n
		return true
	}
	limit := maxFrameBytes
	if !l.opened {
		limit = maxFirstFrameBytes
	}
	f, err = readFrameWithin(in, limit, take)
	if err == nil && !l.opened {
		if l.accepted != nil && !l.accepted.identify(l) {
			return f, reserved, errDisplaced
		}
		l.open()
	}
	return f, reserved, err
}

func (l *Link) deliverReply(f frame) {
	l.mu.Lock()
	replies := l.pendingCalls[f.CallID]
	delete(l.pendingCalls, f.CallID)
	l.mu.Unlock()
	if replies != nil {
		replies <- f
	}
}

// Send queues a one-way message and reports whether it was queued. It never blocks: if the queue is full or the message
// exceeds maxFrameBytes, it closes the link.
func (l *Link) Send(m Method, body []byte) bool {
	return l.enqueue(frame{Kind: frameMessage, Method: m, Body: body})
}

func (l *Link) enqueue(f frame) bool {
	data, err := f.encode()
	if err != nil {
		l.close(err)
		return false
	}
	select {
	case <-l.done:
		return false
	default:
	}
	l.enqueued.Add(int64(len(data)))
	select {
	case l.sendQueue <- data:
		l.Traffic.countSent(&f, len(data))
		return true
	default:
		l.close(errSendQueueFull)
		return false
	}
}

// Call sends a call and waits for its reply. It returns ErrNotSent if the call was not sent, a *RemoteError if the callee
// returned an error, and ErrClosed or the context's error if the outcome is unknown.
func (l *Link) Call(ctx context.Context, m Method, body []byte) ([]byte, error) {
	reply := make(chan frame, 1)
	l.mu.Lock()
	l.lastCallID++
	id := l.lastCallID
	l.pendingCalls[id] = reply
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pendingCalls, id)
		l.mu.Unlock()
	}()
	if !l.enqueue(frame{Kind: frameCall, CallID: id, Method: m, Body: body}) {
		return nil, ErrNotSent
	}
	select {
	case f := <-reply:
		if f.Error != "" {
			return nil, &RemoteError{Message: f.Error}
		}
		return f.Body, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, ErrClosed
	}
}
