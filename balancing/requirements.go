package balancing

import (
	"slices"
	"strings"
	"time"
)

// Requirements are the constraints of one request on the choice of an upstream.
type Requirements struct {
	// Zone is the availability zone of the gateway.
	Zone string
	// Route is the name of the request's route. Requests of one route take about the same time.
	Route string
	// LatencyTarget is the whole latency target of the route. Zero means that it has none.
	LatencyTarget time.Duration
	// Target is the remaining part of the latency target.
	Target time.Duration
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// OnlyFreeSlots admits only upstreams with a free slot. It is set for retries and hedges, which must not add to an
	// overload.
	OnlyFreeSlots bool
	// Large marks requests with long responses, which should not cross zones unnecessarily.
	Large bool
	// ReuseConnections is set if new connections to upstreams cost more than a slightly longer response: fewer upstreams are probed,
	// a free slot of an upstream at normal speed is good enough, and large requests stay in the zone while it is on time.
	ReuseConnections bool
	// Version admits only upstreams of that version. Zero admits all.
	Version uint8
	// Exclude lists upstreams that already got the request.
	Exclude []string
	// Hedge admits only upstreams that can bear extra work and are likely to respond sooner: with headroom, not slow and not
	// suspect. ExcludeHosts lists the hosts, and ExcludeZones the zones, that may be the reason why the first attempt has no
	// response.
	Hedge                      bool
	ExcludeHosts, ExcludeZones []string
}

const (
	// goodEnoughShare is the share of Target up to which an upstream of the local zone is preferred even if one in
	// another zone is faster. Service times vary by a third around their mean, so that at 0.6 about 98 of 100 responses
	// are still in time.
	goodEnoughShare = 0.6
	// goodEnoughShareLarge replaces goodEnoughShare for long responses, whose transfer between zones costs more than an
	// occasional late response.
	goodEnoughShareLarge = 0.8
	// admitShare is the share of Target up to which a request may join the queue of a busy upstream.
	admitShare = 0.85
	// deadlineShare is the share of TimeLeft up to which a late response is still likely to arrive before the deadline.
	deadlineShare = 0.8
)

// Admits reports whether the request may be sent to the candidate. Under overload, a request that will be late anyway
// must not displace one that can be served in time, so it may only use free slots. It may not use a slot of a slow
// upstream either: it would occupy that slot several times as long, even after the upstream has recovered. In a
// simulation, such requests kept upstreams full after a burst (TestSlowUpstreamsAreNotFilledDuringABurst).
//
// A retry or hedge that will be late may only use spare capacity. It is admitted at all because the alternative for the
// client is no response.
func (r Requirements) Admits(c Candidate) bool {
	if r.Hedge && (!c.HasHeadroom || c.Slow || c.Suspect) {
		return false
	}
	inTime := !r.wastesSlots(c) && r.Target > 0 && float64(c.Estimate) <= admitShare*float64(r.Target)
	if r.OnlyFreeSlots {
		return c.HasFreeSlot && inTime || c.HasHeadroom && !c.Slow && r.beforeDeadline(c)
	}
	return inTime || c.HasFreeSlot && !c.Slow && r.beforeDeadline(c)
}

// wastesSlots reports whether a large request would take one of the last slots of a slow upstream. The target of large requests is
// so long that even a slow upstream responds in time, but it needs its slots several times as long: in a simulation of a burst
// of large requests only, 70 % were in time with those requests, and 79 % without (TestLargeRequestsStayInTheZone).
func (r Requirements) wastesSlots(c Candidate) bool {
	return r.staysInZone() && c.Slow && c.Load.Slots > 0 && 2*(c.Load.Running+c.Load.Waiting) >= c.Load.Slots
}

// staysInZone reports whether the request leaves the zone only if no upstream there is on time.
func (r Requirements) staysInZone() bool { return r.Large && r.ReuseConnections }

func (r Requirements) beforeDeadline(c Candidate) bool {
	return float64(c.Estimate) <= deadlineShare*float64(r.TimeLeft)
}

// IsGood reports whether the candidate is known to be good enough to stop searching for a better one. A slow upstream is not good
// for a large request, although it responds in time: the request would take long enough there to be hedged, and its hedge has
// another long response.
func (r Requirements) IsGood(c Candidate) bool {
	return c.Verified && c.Fresh() && !c.Suspect && r.hasRoom(c) && !(r.staysInZone() && c.Slow) &&
		(c.NearMeanServiceTime || r.goodEnough(c.Estimate)) && r.Admits(c)
}

// hasRoom reports whether the candidate can bear the request also if other gateways send it requests at the same time. With few
// slots, half of the upstreams have one request; asking on until one has none takes more new connections than requests.
func (r Requirements) hasRoom(c Candidate) bool {
	return c.HasHeadroom || r.ReuseConnections && c.HasFreeSlot && !c.Slow && c.Load.Waiting == 0 && (!r.Large || c.Zone == r.Zone)
}

// goodEnough reports whether an estimate leaves enough of the target to be preferred in the local zone.
func (r Requirements) goodEnough(estimate time.Duration) bool {
	share := goodEnoughShare
	if r.Large {
		share = goodEnoughShareLarge
	}
	return r.Target <= 0 || float64(estimate) <= share*float64(r.Target)
}

func (r Requirements) excludes(u *Upstream) bool {
	if slices.Contains(r.Exclude, u.ID) {
		return true
	}
	if len(r.ExcludeHosts) == 0 && len(r.ExcludeZones) == 0 {
		return false
	}
	return slices.Contains(r.ExcludeZones, u.Zone) || slices.Contains(r.ExcludeHosts, Host(u.Address))
}

// Host returns the host of an address with a port.
func Host(address string) string {
	host, _, found := strings.Cut(address, ":")
	if i := strings.LastIndexByte(address, ':'); found && i > len(host) { // an IPv6 address
		return address[:i]
	}
	return host
}
