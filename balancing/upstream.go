package balancing

import "time"

// Upstream is the registration of an upstream that may get requests.
type Upstream struct {
	ID      string
	Address string
	Zone    string
	// Incarnation distinguishes successive processes that register with the same id.
	Incarnation int64
	// Slots is the number of requests that the upstream runs concurrently. Zero means unknown.
	Slots int
	// ColdUntil is the end of the warm-up. Until then, the upstream is cold.
	ColdUntil time.Time
	// ColdOwner reports whether this gateway is the one that may send to the upstream while it is cold. It is called only
	// for cold upstreams. Nil means that it is not.
	ColdOwner func() bool
	// IsSender reports whether this gateway is one of the given number of gateways that may send to the upstream while it
	// names a request limit. It is called only for upstreams that do. Nil means that it is not.
	IsSender func(senders int) bool
	// Evacuated reports whether the availability zone of the upstream is evacuated. The upstream gets no requests, but its state is
	// kept.
	Evacuated bool
	// Version is the version of the upstream's software with regard to a rollout of its service, or zero if there is none.
	Version uint8
	// Withheld reports whether the upstream gets nothing because of its version: no requests, and no health requests.
	Withheld bool
	// Affinity orders upstreams that are otherwise equal, highest first. It should differ between gateways, to spread
	// their requests over the upstreams, and stay the same over time, so that connections are reused.
	Affinity uint64
	// Preferred upstreams come before others of the same affinity to which this gateway has no connection either. It has an effect
	// only with Config.PreferKept.
	Preferred bool
}
