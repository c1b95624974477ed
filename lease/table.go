package lease

import (
	"sync"
	"time"
)

// Table is the grantor's side: the deadlines of all sessions. It is safe for concurrent use. A table belongs to one term
// of leadership; Reset starts the next. Session ids must rise: a session opened later has a higher id.
type Table struct {
	mu       sync.Mutex
	ttl      time.Duration
	term     uint64
	sessions map[uint64]*entry
	highest  uint64 // highest session id that Reset or Sync has seen
}

type entry struct {
	deadline time.Time
	expiring bool
}

// NewTable returns a table that grants leases of the given duration.
func NewTable(ttl time.Duration) *Table {
	return &Table{ttl: ttl, sessions: make(map[uint64]*entry)}
}

// Reset starts a term: every session counts as renewed at now, because an earlier grantor may have renewed it until then.
func (t *Table) Reset(term uint64, now time.Time, sessionIDs []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.term = term
	t.sessions = make(map[uint64]*entry, len(sessionIDs))
	for _, id := range sessionIDs {
		t.sessions[id] = &entry{deadline: now.Add(addClockError(t.ttl))}
		t.highest = max(t.highest, id)
	}
}

// Sync adds sessions that are new, counted as renewed at now, and forgets those that are gone.
func (t *Table) Sync(now time.Time, sessionIDs []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := make(map[uint64]bool, len(sessionIDs))
	for _, id := range sessionIDs {
		live[id] = true
		t.highest = max(t.highest, id)
		if t.sessions[id] == nil {
			t.sessions[id] = &entry{deadline: now.Add(addClockError(t.ttl))}
		}
	}
	for id := range t.sessions {
		if !live[id] {
			delete(t.sessions, id)
		}
	}
}

// Renew extends a session and returns the duration to grant. receivedAt is when the renewal was received. It refuses
// when the table belongs to another term, when the session's expiry was already decided, and when the session ended.
func (t *Table) Renew(term, sessionID uint64, receivedAt time.Time) (ttl time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term != t.term {
		return 0, false
	}
	e := t.sessions[sessionID]
	if e == nil {
		if sessionID <= t.highest {
			// The session was seen and has ended since. Its renewal may have been checked against the replicated state
			// before the end; granting it now would make two owners of its upstreams.
			return 0, false
		}
		// The session is in the replicated state and not yet synced here.
		t.sessions[sessionID] = &entry{deadline: receivedAt.Add(addClockError(t.ttl))}
		return t.ttl, true
	}
	if e.expiring {
		return 0, false
	}
	if d := receivedAt.Add(addClockError(t.ttl)); d.After(e.deadline) {
		e.deadline = d
	}
	return t.ttl, true
}

// Expired returns the sessions whose leases have run out and refuses their renewal from now on. The caller then ends them
// in the replicated state.
func (t *Table) Expired(now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []uint64
	for id, e := range t.sessions {
		if now.After(e.deadline) {
			e.expiring = true
			ids = append(ids, id)
		}
	}
	return ids
}
