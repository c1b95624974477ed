package balancing

import (
	"cmp"
	"time"
)

// sortKey orders candidates. It is compact because with 100 upstreams, sorting is most of the cost of a choice.
type sortKey struct {
	// class is smaller for better candidates. Its parts, from the highest bit: whether the candidate is suspect; whether
	// it is in another zone or not good enough; the estimate in steps; whether it is in another zone.
	class uint64
	// affinity orders candidates of the same class, highest first, so that the gateway returns to upstreams to which it
	// has open connections.
	affinity uint64
	index    int
}

const (
	classSuspect      = 1 << 63
	classNotGoodLocal = 1 << 62
	classOtherZone    = 1
	maxSteps          = classNotGoodLocal/2 - 1
)

// sortKey returns the sort key of a candidate that is ranked by the given estimate. Estimates within the same step are equal.
func (r Requirements) sortKey(c *Candidate, estimate, step time.Duration, affinity uint64, index int) sortKey {
	class := min(uint64(max(0, estimate/step)), maxSteps) * 2
	if c.Suspect {
		class |= classSuspect
	}
	if c.Zone != r.Zone || !r.goodEnough(estimate) {
		class |= classNotGoodLocal
	}
	if c.Zone != r.Zone {
		class |= classOtherZone
	}
	return sortKey{class: class, affinity: affinity, index: index}
}

func (a sortKey) compare(b sortKey) int {
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	return cmp.Compare(b.affinity, a.affinity)
}
