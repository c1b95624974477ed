package clientbudget

import "time"

// Group is the connections of one port.
type Group struct {
	budget     *Budget
	limit      int
	largeShare float64
	count      int // guarded by budget.mu
}

// NewGroup returns a group of at most limit connections; zero means that there is no limit. Those that hold SmallHolding or more
// may use largeShare of the budget, and those that hold less may use more in proportion, so that a few large requests, and many
// that become large, do not keep out ordinary ones.
func (b *Budget) NewGroup(limit int, largeShare float64) *Group {
	return &Group{budget: b, limit: limit, largeShare: largeShare}
}

// limitFor returns the limit of the budget for a connection that holds the given number of bytes.
func (g *Group) limitFor(bytes int64) int64 {
	size := min(1, float64(bytes)/SmallHolding)
	return int64((1 - (1-g.largeShare)*size) * float64(g.budget.limit))
}

// Open charges a new connection with n bytes. The caller closes the evicted connections. The result is nil if there is no room:
// all connections of the group run requests, or the budget is used up; the caller then closes the new connection. A connection
// that displaces another one in its group is counted beside it until that one is closed.
func (g *Group) Open(n int64, closeConn func(held int64), now time.Time) (h *Holder, evicted []*Holder) {
	b := g.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h = &Holder{budget: b, group: g, closeConn: closeConn, opened: now, since: now}
	if g.limit > 0 && g.count >= g.limit {
		v := b.worst(now, func(other *Holder) bool { return other.group == g })
		if v == nil {
			b.stats.Refused++
			return nil, nil
		}
		evicted = append(evicted, b.evict(v))
	}
	if over := b.used + n - g.limitFor(n); b.limit > 0 && over > 0 {
		more, ok := b.makeRoom(h, n, over, idle, now)
		evicted = append(evicted, more...)
		if !ok {
			b.stats.Refused++
			return nil, evicted
		}
	}
	h.bytes = n
	b.used += n
	b.holders[h] = struct{}{}
	g.count++
	return h, evicted
}
