// Package upstreamconn pools the connections to one upstream and performs single HTTP/1.1 exchanges on them. It guarantees
// that a response is complete and was read from a connection with no other outstanding request, that no request is sent
// twice, and that the caller learns whether any byte was sent. It never retries.
package upstreamconn

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Pool is the connection pool of one upstream. It is safe for concurrent use.
type Pool struct {
	address string
	opts    Options

	mu         sync.Mutex
	closed     bool
	open       int          // connections that are being dialed, busy or idle
	idle       []*transport // ordered by idleSince, oldest first
	sweepTimer *time.Timer  // closes connections that exceed IdleLimit; nil while none is idle
	// suspectBefore is set when a connection turns out to be unresponsive. Connections that became idle before this time are
	// not reused.
	suspectBefore time.Time
	// lastRespondedSentAt is the latest time at which a request was sent that has received a response header.
	lastRespondedSentAt time.Time
	stats               Stats
	lastClosed          NewReason // why the last connection was closed; FirstUse if there was none
	idleLimit           time.Duration
	// droppedAt is the time at which the upstream was last found to have dropped an idle connection without notice.
	droppedAt time.Time
}

// Stats holds the counters of a Pool since its creation and the number of its connections.
type Stats struct {
	Open, Idle   int
	Dialed       int // connections opened
	Reused       int // exchanges started on a reused connection
	Unresponsive int // connections closed without a response while the upstream responded on others
	Suspect      int // idle connections closed because another one was unresponsive
	StaleAtReuse int // idle connections that the upstream had closed or sent unexpected data on
	IdleExpired  int // idle connections closed after IdleLimit
}

// NewPool returns a pool of connections to address (IP:port). It does not open a connection.
func NewPool(address string, opts Options) *Pool {
	opts = opts.withDefaults()
	p := &Pool{address: address, opts: opts, lastClosed: FirstUse, idleLimit: opts.IdleLimit}
	opts.Limiter.add(p)
	return p
}

// Connect returns a connection for one exchange: the most recently used idle one, or a new one. With forceNew it always
// opens a new one and, at the connection limit, closes an idle one first. Connect does not wait for a busy connection. It
// fails with ErrMaxConnections, ErrDial or ErrPoolClosed. The caller must call Exchange or Release on the result.
func (p *Pool) Connect(ctx context.Context, forceNew bool) (*Conn, error) {
	maxIdle := p.IdleLimit()
	if forceNew {
		maxIdle = 0
	}
	return p.ConnectWithin(ctx, maxIdle, "")
}

// ConnectWithin is like Connect, but reuses a connection only if it has been idle for less than maxIdle. Zero always opens
// a new connection. If a request is sent again with the same id, requestID is that id: the new connection is not one on which
// a second response to the first attempt could be taken for that to the second. It may be empty.
func (p *Pool) ConnectWithin(ctx context.Context, maxIdle time.Duration, requestID string) (*Conn, error) {
	t, reason, err := p.acquire(maxIdle, requestID)
	if errors.Is(err, ErrLimiter) && p.opts.Limiter.closeIdle() {
		t, reason, err = p.acquire(maxIdle, requestID)
	}
	if err != nil {
		return nil, err
	}
	if t != nil {
		return &Conn{transport: t, reused: true}, nil
	}
	t, err = p.dial(ctx)
	if err != nil {
		return nil, err
	}
	return &Conn{transport: t, newReason: reason}, nil
}

// acquire returns an idle connection, or nil and the reason for a new one after it has reserved capacity for that.
func (p *Pool) acquire(maxIdle time.Duration, requestID string) (*transport, NewReason, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, NotNew, newError(ErrPoolClosed, nil)
	}
	t, carried := p.takeIdle(maxIdle, requestID)
	if t != nil {
		return t, NotNew, nil
	}
	reason := p.newReason(carried)
	if p.open >= p.opts.MaxConnections && len(p.idle) > 0 {
		p.closeOldestIdle()
	}
	if p.open >= p.opts.MaxConnections {
		return nil, NotNew, newError(ErrMaxConnections, nil)
	}
	if !p.opts.Limiter.acquire() {
		return nil, NotNew, &exchangeError{kind: ErrMaxConnections, cause: ErrLimiter, context: ErrLimiter}
	}
	p.open++
	return nil, reason, nil
}

// takeIdle returns an idle connection, or nil and whether one was passed over because of requestID. The caller holds mu.
func (p *Pool) takeIdle(maxIdle time.Duration, requestID string) (found *transport, carried bool) {
	now := time.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		t := p.idle[i]
		if now.Sub(t.idleSince) >= maxIdle {
			break // the remaining ones have been idle longer
		}
		if t.hasCarried(requestID) {
			carried = true
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if p.usable(t, now) {
			p.stats.Reused++
			return t, carried
		}
		t.closeLocked()
	}
	return nil, carried
}

// newReason returns why no idle connection can be used. The caller holds mu.
func (p *Pool) newReason(carried bool) NewReason {
	switch {
	case carried:
		return CarriedSameID
	case len(p.idle) > 0:
		return IdleTooLong
	case p.open > 0:
		return AllBusy
	}
	return p.lastClosed
}

// usable reports whether an idle connection can carry another exchange. If not, it counts the reason.
func (p *Pool) usable(t *transport, now time.Time) bool {
	switch {
	case now.Sub(t.idleSince) >= p.currentIdleLimit(now):
		p.stats.IdleExpired++
		p.lastClosed = Expired
	case t.idleSince.Before(p.suspectBefore):
		p.stats.Suspect++
		p.lastClosed = ClosedOnError
	case !t.stillIdle():
		p.stats.StaleAtReuse++
		p.lastClosed = ClosedByPeer
	default:
		return true
	}
	return false
}

func (p *Pool) dial(ctx context.Context) (*transport, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	conn, err := p.opts.Dial(ctx, p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		p.opts.Limiter.release()
		return nil, dialError(err)
	}
	t := newTransport(p, conn)
	if p.closed {
		t.closeLocked()
		return nil, newError(ErrPoolClosed, nil)
	}
	p.stats.Dialed++
	return t, nil
}

// put returns t to the idle connections. The caller guarantees that its last response was complete. A connection that was
// not used keeps its idleSince, because its state was not verified again.
func (p *Pool) put(t *transport, used bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || t.closed {
		t.closeLocked()
		return
	}
	t.in.counter, t.out.counter = nil, nil
	if used {
		t.idleSince = time.Now()
	}
	at := len(p.idle)
	for at > 0 && p.idle[at-1].idleSince.After(t.idleSince) {
		at--
	}
	p.idle = slices.Insert(p.idle, at, t)
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(p.idleLimit, p.closeExpired)
	}
}

// closeExpired closes the connections that exceed IdleLimit and sets the timer for the next one.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepTimer = nil
	if p.closed {
		return
	}
	now := time.Now()
	for len(p.idle) > 0 {
		if left := p.idleLimit - now.Sub(p.idle[0].idleSince); left > 0 {
			p.sweepTimer = time.AfterFunc(left, p.closeExpired)
			return
		}
		p.stats.IdleExpired++
		p.lastClosed = Expired
		p.closeOldestIdle()
	}
}

// oldestIdle returns since when the connection that was idle for longest has been idle. ok is false if none is idle.
func (p *Pool) oldestIdle() (since time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].idleSince, true
}

// tryCloseOldestIdle reports whether a connection was idle.
func (p *Pool) tryCloseOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	p.closeOldestIdle()
	return true
}

func (p *Pool) closeOldestIdle() {
	p.idle[0].closeLocked()
	p.idle = slices.Delete(p.idle, 0, 1)
}

// recordClosed records why a connection is closed.
func (p *Pool) recordClosed(reason NewReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastClosed = reason
}

// recordUnresponsive records that a request sent at the given time on a reused connection received no byte. It reports
// whether the upstream has responded to a request sent later. Other connections that were idle before that time may be
// unresponsive for the same reason. They are closed even if the cause is unknown: each could make another request exceed its
// deadline, while opening a connection takes 1 ms.
func (p *Pool) recordUnresponsive(sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sent.After(p.suspectBefore) {
		p.suspectBefore = sent
	}
	for len(p.idle) > 0 && p.idle[0].idleSince.Before(p.suspectBefore) {
		p.stats.Suspect++
		p.closeOldestIdle()
	}
	laterRequestResponded := p.lastRespondedSentAt.After(sent)
	if laterRequestResponded {
		p.stats.Unresponsive++
		p.droppedAt = time.Now()
	}
	return laterRequestResponded
}

// Stats returns the counters and the current number of connections.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Open, s.Idle = p.open, len(p.idle)
	return s
}

// Close closes the idle connections. Busy connections are closed at the end of their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.opts.Limiter.remove(p)
	for _, t := range p.idle {
		t.closeLocked()
	}
	p.idle = nil
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
}
