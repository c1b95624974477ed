package upstreamconn

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// keepAliveMargin is subtracted from the timeout that an upstream states. Its time begins before the response arrives here, and
	// a request needs some time to arrive there.
	keepAliveMargin = time.Second
	// maxKeepAlive bounds the time for which idle connections are kept, whatever an upstream states.
	maxKeepAlive = time.Minute
	// minIdleDropped is the idle time from which on a lost connection counts as dropped because it was idle. A connection that is
	// lost earlier shows that the process has ended.
	minIdleDropped = 100 * time.Millisecond
	// reuseWhileDropping replaces the idle limit after the upstream has dropped an idle connection without notice, for droppingFor.
	// Connections were dropped after 300 ms, by faults that lasted 6 s.
	reuseWhileDropping = 100 * time.Millisecond
	droppingFor        = 8 * time.Second
)

// parseKeepAlive returns the timeout in the Keep-Alive field of a response, such as "timeout=10, max=100".
func parseKeepAlive(h http.Header) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(strings.Trim(value, `"`), 10, 31)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}

// idleLimitFor returns how long an idle connection is kept if the upstream closes it after timeout.
func idleLimitFor(timeout time.Duration) time.Duration {
	return min(max(timeout-keepAliveMargin, timeout/2), maxKeepAlive)
}

// IdleLimit returns how long an idle connection may be reused now.
func (p *Pool) IdleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentIdleLimit(time.Now())
}

// currentIdleLimit is IdleLimit; the caller holds mu.
func (p *Pool) currentIdleLimit(now time.Time) time.Duration {
	if p.opts.FollowKeepAlive && !p.droppedAt.IsZero() && now.Sub(p.droppedAt) < droppingFor {
		return min(p.idleLimit, reuseWhileDropping)
	}
	return p.idleLimit
}

// recordResponse records that a request sent at the given time received a response header.
func (p *Pool) recordResponse(sent time.Time, h http.Header) {
	timeout, stated := time.Duration(0), false
	if p.opts.FollowKeepAlive {
		timeout, stated = parseKeepAlive(h)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if sent.After(p.lastRespondedSentAt) {
		p.lastRespondedSentAt = sent
	}
	if stated {
		p.idleLimit = idleLimitFor(timeout)
	}
}

// recordDropped records that the upstream had dropped a connection without notice that was idle for the given time.
func (p *Pool) recordDropped(idle time.Duration) {
	now := time.Now()
	p.mu.Lock()
	first := p.droppedAt.IsZero() || now.Sub(p.droppedAt) >= droppingFor
	p.droppedAt = now
	p.mu.Unlock()
	if first && p.opts.FollowKeepAlive && p.opts.OnDropped != nil {
		p.opts.OnDropped(idle)
	}
}

// Reuse is like ConnectWithin, but returns nil instead of a new connection.
func (p *Pool) Reuse(maxIdle time.Duration, requestID string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	t, _ := p.takeIdle(maxIdle, requestID)
	if t == nil {
		return nil
	}
	return &Conn{transport: t, reused: true}
}
