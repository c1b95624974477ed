package clientbudget

import (
	"math"
	"sync"
	"time"
)

const (
	// SmallHolding is the number of bytes up to which a connection may use more of the budget than large ones, and may displace any
	// other one. It allows for an ordinary request with a body of 64 KiB.
	SmallHolding = 144 << 10
	// failureAge is how long a failed search for connections to close is taken for the result of further ones. Each looks at all
	// connections, and there may be thousands of searches a second while memory is short.
	failureAge = 20 * time.Millisecond
	// slowAfter is the time after which a request that is still being sent, or a response that is not read, counts as slow. On a
	// link of 4 Mbit/s, 100 KB take 0.2 s.
	slowAfter = 500 * time.Millisecond
)

// Budget is the memory in bytes that the clients of one process may make it hold. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu      sync.Mutex
	used    int64
	leaving int64 // bytes of holders that were evicted and not yet closed
	holders map[*Holder]struct{}
	waiting chan struct{} // closed when bytes are released; nil if nobody waits
	failed  search        // the last one that found too little
	stats   Stats
}

// Stats are counters since the creation of a budget and its current state.
type Stats struct {
	// Held are the bytes that are charged now, and Limit the most that may be.
	Held, Limit int64
	// Connections is the number of open connections.
	Connections int
	// Evicted counts the connections that were selected to be closed.
	Evicted int64
	// Refused counts the charges that found no room.
	Refused int64
}

// New returns a budget. A limit of zero means that there is none.
func New(limit int64) *Budget { return &Budget{limit: limit, holders: make(map[*Holder]struct{})} }

// Stats returns the counters and the current state.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Held, s.Limit, s.Connections = b.used, b.limit, len(b.holders)
	return s
}

// Room returns the number of bytes that are not charged. Without a limit it is the largest number.
func (b *Budget) Room() int64 {
	if b.limit <= 0 {
		return math.MaxInt64
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit - b.used
}

// Freed returns a channel that is closed at the next release.
func (b *Budget) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == nil {
		b.waiting = make(chan struct{})
	}
	return b.waiting
}

// release returns n bytes. The caller holds mu.
func (b *Budget) release(n int64) {
	b.used -= n
	if n > 0 && b.waiting != nil {
		close(b.waiting)
		b.waiting = nil
	}
}
