package registry

import (
	"slices"
	"sync"
	"time"
)

// GoneRetention is how long the entry of a gone upstream is kept as a tombstone, so that a delayed announcement does not add
// it again. Announcements are delayed by seconds at most; two minutes also cover a network partition.
const GoneRetention = 2 * time.Minute

// Registry is a set of entries. It is safe for concurrent use.
type Registry struct {
	maxEntries int // zero means no limit

	mu          sync.Mutex
	entries     map[string]*record
	idByAddress map[string]string // address to the id of the upstream that uses it
	revision    uint64            // see Revision
}

type record struct {
	Entry
	receivedAt time.Time // time at which the last announcement was received
	changedAt  time.Time // time of the last material change
}

// warmupLeft returns the remaining warm-up time.
func (r *record) warmupLeft(now time.Time) time.Duration {
	return max(0, r.WarmupLeft-now.Sub(r.receivedAt))
}

// turnsCold reports whether e is the observation that the upstream is cold again.
func (r *record) turnsCold(e *Entry, now time.Time) bool {
	return e.Observed && e.WarmupLeft > 0 && e.Incarnation == r.Incarnation && e.State == r.State && r.warmupLeft(now) == 0
}

// New returns an empty registry without a limit.
func New() *Registry { return NewWithin(0) }

// NewWithin returns an empty registry of at most maxEntries entries, those of gone upstreams included. Zero means no limit.
func NewWithin(maxEntries int) *Registry {
	return &Registry{maxEntries: maxEntries, entries: make(map[string]*record), idByAddress: make(map[string]string)}
}

// HasRoom reports whether an entry with the id can be merged.
func (r *Registry) HasRoom(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[id] != nil || r.maxEntries <= 0 || len(r.entries) < r.maxEntries
}

// Merge adds or replaces an entry if e is newer than the current one, and returns the entries that must be propagated: the entry
// itself, if it changed materially or its warm-up begins, and the upstream whose address it took over. An entry without room is not
// added: evicting another one could hit an upstream that works, since this process does not receive all announcements.
func (r *Registry) Merge(e Entry, now time.Time) (changed []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.entries[e.ID]
	if old == nil && r.maxEntries > 0 && len(r.entries) >= r.maxEntries {
		return nil
	}
	if old != nil && e.isAnonymousDeregistration() {
		e = old.Entry
		e.State = Gone
	}
	if old != nil && !e.supersedes(&old.Entry) {
		if !old.turnsCold(&e, now) {
			return nil
		}
		old.WarmupLeft, old.receivedAt = e.WarmupLeft, now
		r.revision++
		observed := old.Entry
		observed.Observed = true
		return []Entry{observed}
	}
	e.Observed = false // it concerns this merge only
	if other := r.currentHolder(e.Address, e.ID); other != nil && e.State != Gone {
		if other.Incarnation > e.Incarnation {
			e.State = Gone // a process that started later uses the address
		} else {
			other.State, other.changedAt = Gone, now
			changed = append(changed, other.Entry)
		}
	}
	rec := &record{Entry: e, receivedAt: now, changedAt: now}
	if old != nil && !e.differsMaterially(&old.Entry) {
		rec.changedAt = old.changedAt
		if e.WarmupLeft > 0 && old.warmupLeft(now) == 0 {
			changed = append(changed, e)
		} else if e.WarmupLeft > old.WarmupLeft-now.Sub(old.receivedAt) && e.WarmupLeft > 0 {
			// The warm-up ends later. That is not a material change, but processes that send requests to the upstream use it.
			r.revision++
		}
	} else {
		changed = append(changed, e)
	}
	r.entries[e.ID] = rec
	if e.Address != "" && e.State != Gone {
		r.idByAddress[e.Address] = e.ID
	}
	if len(changed) > 0 {
		r.revision++
	}
	return changed
}

// currentHolder returns the upstream other than id that uses the address and is not gone, or nil.
func (r *Registry) currentHolder(address, id string) *record {
	other := r.entries[r.idByAddress[address]]
	if address == "" || other == nil || other.ID == id || other.State == Gone || other.Address != address {
		return nil
	}
	return other
}

// Revision returns a number that increases with each material change of an entry, when a warm-up is extended, and when an
// entry that is not gone expires.
func (r *Registry) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Get returns the entry with the given id, and whether it exists. WarmupLeft is as of the time at which the entry was
// received.
func (r *Registry) Get(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.entries[id]
	if rec == nil {
		return Entry{}, false
	}
	return rec.Entry, true
}

// All returns all entries sorted by id, with WarmupLeft relative to now.
func (r *Registry) All(now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Entry, 0, len(r.entries))
	for _, rec := range r.entries {
		e := rec.Entry
		e.WarmupLeft = rec.warmupLeft(now)
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// Expire drops entries that have been gone for GoneRetention, and entries without an announcement for timeout. A timeout of 0
// disables the latter.
func (r *Registry) Expire(now time.Time, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, rec := range r.entries {
		switch {
		case rec.State == Gone && now.Sub(rec.changedAt) >= GoneRetention:
			delete(r.entries, id)
			if r.idByAddress[rec.Address] == id {
				delete(r.idByAddress, rec.Address)
			}
		case rec.State != Gone && timeout > 0 && now.Sub(rec.receivedAt) >= timeout:
			delete(r.entries, id) // no tombstone is kept, so the next announcement adds it again
			if r.idByAddress[rec.Address] == id {
				delete(r.idByAddress, rec.Address)
			}
			r.revision++
		}
	}
}
