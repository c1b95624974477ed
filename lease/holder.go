package lease

import (
	"sync/atomic"
	"time"
)

// Holder is the holder's side of a lease. It is safe for concurrent use, and Valid does not block.
type Holder struct {
	state atomic.Pointer[heldLease]
}

type heldLease struct {
	sessionID uint64
	deadline  time.Time
}

// RecordGrant records a grant: sentAt is when the renewal that was granted was sent, and ttl is the granted duration. The
// lease is counted from sentAt, because the grantor counts from a later moment. A grant never shortens a lease of the same
// session, so that responses may arrive out of order.
func (h *Holder) RecordGrant(sessionID uint64, sentAt time.Time, ttl time.Duration) {
	next := &heldLease{sessionID: sessionID, deadline: sentAt.Add(subtractClockError(ttl))}
	for {
		current := h.state.Load()
		if current != nil && current.sessionID == sessionID && !next.deadline.After(current.deadline) {
			return
		}
		if h.state.CompareAndSwap(current, next) {
			return
		}
	}
}

// Drop gives the lease up at once.
func (h *Holder) Drop() {
	h.state.Store(nil)
}

// Valid tells whether the lease is held at now. now must come from time.Now of the same process, which carries the monotonic
// clock.
func (h *Holder) Valid(now time.Time) bool {
	s := h.state.Load()
	return s != nil && now.Before(s.deadline)
}

// SessionID returns the session of the last grant, or 0. It does not tell whether the lease is valid.
func (h *Holder) SessionID() uint64 {
	if s := h.state.Load(); s != nil {
		return s.sessionID
	}
	return 0
}

// Remaining returns how long the lease is still held, or 0.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if s := h.state.Load(); s != nil && now.Before(s.deadline) {
		return s.deadline.Sub(now)
	}
	return 0
}
