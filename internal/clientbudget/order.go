package clientbudget

import (
	"cmp"
	"slices"
	"time"
)

// rank is the order in which connections are closed. Those of a lower rank are closed first.
type rank uint8

const (
	// slow are connections whose client does not read a response or takes long to send a request.
	slow rank = iota
	idle
	// fresh are connections on which a request began to arrive just now.
	fresh
	// running are connections whose request runs. They are not closed for others.
	running
)

func (h *Holder) rank(now time.Time) rank {
	switch {
	case h.WritingFor(now) > slowAfter:
		return slow
	case h.state == Running:
		return running
	case h.state == Idle:
		return idle
	case now.Sub(h.since) > slowAfter:
		return slow
	}
	return fresh
}

// worst returns the connection to close first among those that match, or nil if all of them run requests. The caller holds mu.
func (b *Budget) worst(now time.Time, matches func(*Holder) bool) *Holder {
	var worst *Holder
	var worstRank rank
	for h := range b.holders {
		if h.evicted || !matches(h) {
			continue
		}
		r := h.rank(now)
		if r == running || worst != nil && (r > worstRank || r == worstRank && !h.since.Before(worst.since)) {
			continue
		}
		worst, worstRank = h, r
	}
	return worst
}

// search is what a search for connections to close was for.
type search struct {
	at            time.Time
	holding, over int64
	last          rank
}

// makeRoom evicts connections so that over bytes will be released, for a connection that asks for n. Their rank is at most last. It
// evicts none if enough have been evicted already, or if all that may be evicted are not enough. ok reports whether the bytes will
// be released. The caller holds mu.
func (b *Budget) makeRoom(h *Holder, n, over int64, last rank, now time.Time) (evicted []*Holder, ok bool) {
	over -= b.leaving
	if over <= 0 {
		return nil, true
	}
	holding := h.bytes + n
	if f := &b.failed; now.Sub(f.at) < failureAge && holding >= f.holding && over >= f.over && last <= f.last {
		return nil, false
	}
	type candidate struct {
		*Holder
		rank rank
	}
	var candidates []candidate
	for other := range b.holders {
		if other == h || other.evicted || holding > SmallHolding && other.bytes < holding {
			continue
		}
		if r := other.rank(now); r <= last {
			candidates = append(candidates, candidate{other, r})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.bytes, x.bytes), cmp.Compare(x.rank, y.rank), x.since.Compare(y.since))
	})
	enough := 0
	for left := over; left > 0; enough++ {
		if enough == len(candidates) {
			b.failed = search{now, holding, over, last}
			return nil, false
		}
		left -= candidates[enough].bytes
	}
	for _, c := range candidates[:enough] {
		evicted = append(evicted, b.evict(c.Holder))
	}
	return evicted, true
}

// evict marks a connection that the caller of the budget closes. The caller holds mu.
func (b *Budget) evict(h *Holder) *Holder {
	h.evicted = true
	h.group.count--
	b.leaving += h.bytes
	b.stats.Evicted++
	return h
}
