package nodelink

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// PingAfter is how long a link may be idle before a ping is sent.
	PingAfter = 400 * time.Millisecond
	// SilentAfter ends a link on which nothing arrived. It allows two lost pings and a retransmission, and leaves half of the
	// 3 s after which a partition must be over for everybody to open a new link.
	SilentAfter = 1500 * time.Millisecond
	// queueCapacity bounds the frames that wait to be written. A link that is so far behind is ended.
	queueCapacity = 512
	// maxServing bounds the calls that one link serves at a time.
	maxServing = 256
)

var (
	// ErrClosed ends the calls of a link that ended. Whether the callee handled them is not known.
	ErrClosed = errors.New("link is closed")
	// ErrNotSent tells that a call was not sent.
	ErrNotSent = errors.New("call was not sent")
	errBehind  = errors.New("the other side does not read")
)

// RemoteError is an error that the callee returned.
type RemoteError struct{ Text string }

// Error returns the callee's text.
func (e *RemoteError) Error() string { return e.Text }

// Link is one connection to another process. Its methods may be called concurrently.
type Link struct {
	// Remote is the dialed address, or the address from which the other process connected.
	Remote string
	// Dialed tells which side opened the link.
	Dialed bool

	conn    net.Conn
	handler Handler
	queue   chan []byte
	done    chan struct{}
	end     sync.Once
	cause   error

	mu       sync.Mutex
	lastCall uint64
	calls    map[uint64]chan frame
	serving  chan struct{}
}

func newLink(conn net.Conn, remote string, dialed bool, handler Handler) *Link {
	return &Link{
		Remote: remote, Dialed: dialed, conn: conn, handler: handler, queue: make(chan []byte, queueCapacity),
		done: make(chan struct{}), calls: make(map[uint64]chan frame), serving: make(chan struct{}, maxServing),
	}
}

// run serves the link until it ends, and returns the cause.
func (l *Link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { l.close(ctx.Err()) })
	defer stop()
	l.handler.Opened(l)
	var writer sync.WaitGroup
	writer.Go(l.write)
	l.read(ctx)
	writer.Wait()
	l.handler.Closed(l, l.cause)
	return l.cause
}

func (l *Link) close(cause error) {
	l.end.Do(func() {
		l.cause = cause
		close(l.done)
		l.conn.Close()
	})
}

// Close ends the link.
func (l *Link) Close() { l.close(ErrClosed) }

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

func (l *Link) write() {
	ping, err := frame{Kind: framePing}.encode()
	if err != nil {
		panic(err) // a constant
	}
	idle := time.NewTimer(PingAfter)
	defer idle.Stop()
	for {
		data := ping
		select {
		case data = <-l.queue:
		case <-idle.C:
		case <-l.done:
			return
		}
		if err := l.conn.SetWriteDeadline(time.Now().Add(SilentAfter)); err != nil {
			l.close(err)
			return
		}
		if _, err := l.conn.Write(data); err != nil {
			l.close(err)
			return
		}
		idle.Reset(PingAfter)
	}
}

func (l *Link) read(ctx context.Context) {
	in := bufio.NewReader(l.conn)
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(SilentAfter)); err != nil {
			l.close(err)
			return
		}
		f, err := readFrame(in)
		if err != nil {
			l.close(err)
			return
		}
		switch f.Kind {
		case frameSend:
			l.handler.Receive(l, f.Method, f.Body)
		case frameCall:
			l.serve(ctx, f)
		case frameReply:
			l.reply(f)
		}
	}
}

func (l *Link) serve(ctx context.Context, f frame) {
	select {
	case l.serving <- struct{}{}:
	default:
		l.enqueue(frame{Kind: frameReply, Call: f.Call, Error: "too many calls"})
		return
	}
	go func() {
		defer func() { <-l.serving }()
		body, err := l.handler.Serve(ctx, l, f.Method, f.Body)
		reply := frame{Kind: frameReply, Call: f.Call, Body: body}
		if err != nil {
			reply.Error = err.Error()
		}
		l.enqueue(reply)
	}()
}

func (l *Link) reply(f frame) {
	l.mu.Lock()
	waiting := l.calls[f.Call]
	delete(l.calls, f.Call)
	l.mu.Unlock()
	if waiting != nil {
		waiting <- f
	}
}

// Send queues a one-way message. It never blocks; a link whose queue is full is ended.
func (l *Link) Send(m Method, body []byte) bool {
	return l.enqueue(frame{Kind: frameSend, Method: m, Body: body})
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
	select {
	case l.queue <- data:
		return true
	default:
		l.close(errBehind)
		return false
	}
}

// Call sends a call and waits for its reply. Errors: ErrNotSent; ErrClosed or the context's error if the outcome is not
// known; *RemoteError.
func (l *Link) Call(ctx context.Context, m Method, body []byte) ([]byte, error) {
	reply := make(chan frame, 1)
	l.mu.Lock()
	l.lastCall++
	id := l.lastCall
	l.calls[id] = reply
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.calls, id)
		l.mu.Unlock()
	}()
	if !l.enqueue(frame{Kind: frameCall, Call: id, Method: m, Body: body}) {
		return nil, ErrNotSent
	}
	select {
	case f := <-reply:
		if f.Error != "" {
			return nil, &RemoteError{Text: f.Error}
		}
		return f.Body, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, ErrClosed
	}
}
