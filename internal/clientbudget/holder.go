package clientbudget

import (
	"sync/atomic"
	"time"
)

// State is what a connection does.
type State uint8

// States of a connection.
const (
	// Idle is a connection without a request.
	Idle State = iota
	// Reading is a connection whose client sends a request.
	Reading
	// Running is a connection of which at least one request runs.
	Running
)

// Holder is the account of one connection. It is safe for concurrent use.
type Holder struct {
	budget    *Budget
	group     *Group
	closeConn func(held int64)
	opened    time.Time

	// guarded by budget.mu
	bytes   int64
	state   State
	since   time.Time
	evicted bool
	closed  bool

	// writingSince is the start of the write that waits until the client reads, in ns after opened; zero if there is none.
	writingSince atomic.Int64
}

// CloseConn calls the function that was passed to Group.Open with the bytes that are charged.
func (h *Holder) CloseConn() { h.closeConn(h.Held()) }

// SetState records what the connection does from now on.
func (h *Holder) SetState(s State, now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.state != s {
		h.state, h.since = s, now
	}
}

// WriteStarted records that a write may wait until the client reads.
func (h *Holder) WriteStarted(now time.Time) { h.writingSince.Store(max(1, int64(now.Sub(h.opened)))) }

// WriteEnded records the end of that write.
func (h *Holder) WriteEnded() { h.writingSince.Store(0) }

// WritingFor returns how long the write in progress has taken, and zero if there is none.
func (h *Holder) WritingFor(now time.Time) time.Duration {
	since := h.writingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(h.opened) - time.Duration(since)
}

// Charge adds n bytes that are not held yet. If it returns false, nothing was added. The caller closes the evicted connections; if
// there are any, room will be released soon. An evicted connection gets no more room.
func (h *Holder) Charge(n int64, now time.Time) (ok bool, evicted []*Holder) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	over := b.used + n - h.group.limitFor(h.bytes+n)
	if h.evicted {
		return false, nil
	}
	if b.limit <= 0 || over <= 0 {
		h.bytes += n
		b.used += n
		return true, nil
	}
	evicted, _ = b.makeRoom(h, n, over, idle, now)
	return false, evicted
}

// MakeRoom selects slow connections that hold n bytes together, for a limit on a part of the memory that the caller keeps.
func (h *Holder) MakeRoom(n int64, now time.Time) (evicted []*Holder) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	evicted, _ = b.makeRoom(h, n, n, slow, now)
	return evicted
}

// EvictSlow selects the connection to be closed if it is slow, for a resource that the budget does not charge. It returns false if it
// is not, or was selected or closed before. The caller closes it.
func (h *Holder) EvictSlow(now time.Time) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted || h.closed || h.rank(now) != slow {
		return false
	}
	b.evict(h)
	return true
}

// Refuse counts a request that was refused for lack of room.
func (h *Holder) Refuse() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.stats.Refused++
}

// Release returns n bytes that were charged.
func (h *Holder) Release(n int64) {
	if n == 0 {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.bytes -= n
	if h.evicted {
		b.leaving -= n
	}
	b.release(n)
}

// Held returns the bytes that are charged.
func (h *Holder) Held() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes
}

// Close returns everything that is charged, after the connection was closed.
func (h *Holder) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	delete(b.holders, h)
	if h.evicted {
		b.leaving -= h.bytes
	} else {
		h.group.count--
	}
	b.release(h.bytes)
	h.bytes = 0
}
