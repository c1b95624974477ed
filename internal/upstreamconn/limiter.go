package upstreamconn

import (
	"sync"
	"sync/atomic"
)

// Limiter limits the open connections of several pools together. It is safe for concurrent use.
type Limiter struct {
	max  int64
	open atomic.Int64

	mu    sync.Mutex
	pools map[*Pool]struct{}
}

// NewLimiter returns a limiter of max connections that are being dialed, busy or idle.
func NewLimiter(max int) *Limiter { return &Limiter{max: int64(max), pools: make(map[*Pool]struct{})} }

// Open returns the number of connections that are being dialed, busy or idle.
func (l *Limiter) Open() int { return int(l.open.Load()) }

// acquire counts a connection, unless the limit is reached. A nil limiter has no limit.
func (l *Limiter) acquire() bool {
	if l == nil {
		return true
	}
	if l.open.Add(1) > l.max {
		l.open.Add(-1)
		return false
	}
	return true
}

func (l *Limiter) release() {
	if l != nil {
		l.open.Add(-1)
	}
}

func (l *Limiter) add(p *Pool) {
	if l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pools[p] = struct{}{}
	}
}

func (l *Limiter) remove(p *Pool) {
	if l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pools, p)
	}
}

// closeIdle closes the connection that has been idle for longest, and reports whether there was one. The caller holds no lock of a
// pool.
func (l *Limiter) closeIdle() bool {
	l.mu.Lock()
	pools := make([]*Pool, 0, len(l.pools))
	for p := range l.pools {
		pools = append(pools, p)
	}
	l.mu.Unlock()
	var oldest *Pool
	for _, p := range pools {
		if since, ok := p.oldestIdle(); ok {
			if oldest == nil {
				oldest = p
			} else if best, ok := oldest.oldestIdle(); !ok || since.Before(best) {
				oldest = p
			}
		}
	}
	return oldest != nil && oldest.tryCloseOldestIdle()
}
