package balancing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slowdownGain is the weight of a new sample in the moving average of the slowdown.
	slowdownGain = 0.02
	// estimateSteps is the number of steps into which the mean service time is divided to compare estimates. Estimates
	// are not more precise than that, because service times vary by 30 %.
	estimateSteps = 4
	// defaultRoundTrip is the assumed round-trip time to upstreams in other zones until it has been measured.
	defaultRoundTrip = 2 * time.Millisecond
)

// Config configures a Service.
type Config struct {
	// ColdPerSecond is the rate at which this gateway may send requests to a cold upstream that it owns
	// (Upstream.ColdOwner). If it is zero, every gateway may send to cold upstreams without a limit.
	ColdPerSecond float64
	// VerifyWarm reports whether health responses state if an upstream is cold, so that it must be probed before it
	// gets a request.
	VerifyWarm bool
	// Gateways is the number of gateways among which the request limits of upstreams are divided.
	Gateways int
	// PreferKept reports whether upstreams to which this gateway keeps a connection come first among those that are otherwise equal;
	// see Service.RecordIdleLimit.
	PreferKept bool
}

// Service selects the upstreams of one service. Its methods ignore ids of upstreams that SetUpstreams did not list.
type Service struct {
	cfg       Config
	upstreams map[string]*upstreamState
	// serviceTimes holds the service time of each route that had a request. The routes of one service can differ widely:
	// with one mean for all of them, short requests would make every upstream, however slow, look fast enough for long
	// ones.
	serviceTimes map[string]*serviceTime
	meanSlowdown float64
	// reportsSlowdown reports whether upstreams report their slowdown.
	reportsSlowdown bool
	excluded        Excluded

	// Buffers that Rank reuses: the unsorted candidates, the result, and the sort keys.
	candidates, ranked []Candidate
	sortKeys           []sortKey
}

// New returns a service without upstreams.
func New() *Service {
	return &Service{upstreams: make(map[string]*upstreamState), serviceTimes: make(map[string]*serviceTime), meanSlowdown: 1}
}

// Configure replaces the configuration.
func (s *Service) Configure(cfg Config) { s.cfg = cfg }

// SetUpstreams replaces the upstreams that may get requests. It keeps the state of those that were listed before with the
// same incarnation and address.
func (s *Service) SetUpstreams(upstreams []Upstream, now time.Time) {
	next := make(map[string]*upstreamState, len(upstreams))
	for _, registered := range upstreams {
		u := s.upstreams[registered.ID]
		if u == nil || u.Incarnation != registered.Incarnation || u.Address != registered.Address {
			// Tokens of a cold upstream accrue from its registration on.
			u = &upstreamState{Upstream: registered, coldRefilledAt: now}
		} else {
			until := u.ColdUntil
			u.Upstream = registered
			if until.After(registered.ColdUntil) {
				u.ColdUntil = until // the upstream's own report is newer than the registry's
			}
			if u.limit != nil {
				u.limit.selected = false // the gateways may have changed
			}
		}
		next[registered.ID] = u
	}
	s.upstreams = next
}

// RetainRoutes drops the service times of all other routes.
func (s *Service) RetainRoutes(exists func(route string) bool) {
	for route := range s.serviceTimes {
		if !exists(route) {
			delete(s.serviceTimes, route)
		}
	}
}

// serviceTime returns the service time of the route of a request.
func (s *Service) serviceTime(r Requirements) *serviceTime {
	t := s.serviceTimes[r.Route]
	if t == nil {
		t = newServiceTime(r.LatencyTarget)
		s.serviceTimes[r.Route] = t
	}
	return t
}

// Rank returns the upstreams that may get a request now, best first; see Excluded for the others. Suspect upstreams come last.
// Among the others, good enough ones of the local zone come first. Within these groups, the estimate in steps decides, then the
// local zone, then the affinity. The result is valid until the next call.
func (s *Service) Rank(r Requirements, now time.Time) []Candidate {
	mean := s.serviceTime(r).mean
	step := max(mean/estimateSteps, time.Millisecond)
	s.candidates, s.sortKeys = s.candidates[:0], s.sortKeys[:0]
	s.excluded = Excluded{UntilNext: math.MaxInt64}
	ignoreReports := r.ReuseConnections && s.mostSuspect(now)
	for _, u := range s.upstreams {
		if reason, wait := s.exclusion(u, r, now); reason != NotExcluded {
			s.excluded.add(reason, wait)
			continue
		}
		cold := u.cold(now)
		c := Candidate{
			ID: u.ID, Address: u.Address, Zone: u.Zone, Incarnation: u.Incarnation, Version: u.Version, Cold: cold,
			Estimate: s.estimate(u, mean, u.slowdown(now, s.meanSlowdown), r, now), Load: u.load, Age: u.loadAge(now),
			Suspect: u.suspectHere(now) || !ignoreReports && u.suspect(now), HasFreeSlot: u.occupied(now) < u.slots(),
			NormalSpeed: u.normalSpeed(now), Slow: u.slow(now),
			Verified: cold || !s.cfg.VerifyWarm || now.Sub(u.probedAt) <= verifiedFor,
		}
		c.HasHeadroom = u.hasHeadroom(now)
		c.NearMeanServiceTime = float64(c.Estimate-u.roundTrip) <= nearMeanFactor*float64(mean)
		s.sortKeys = append(s.sortKeys, r.sortKey(&c, s.rankedEstimate(u, &c, mean, r, now), step, s.affinity(u, now), len(s.candidates)))
		s.candidates = append(s.candidates, c)
	}
	slices.SortFunc(s.sortKeys, func(a, b sortKey) int {
		if order := a.compare(b); order != 0 {
			return order
		}
		return cmp.Compare(s.candidates[a.index].ID, s.candidates[b.index].ID)
	})
	s.ranked = s.ranked[:0]
	for _, key := range s.sortKeys {
		s.ranked = append(s.ranked, s.candidates[key.index])
	}
	return s.ranked
}

// Excluded returns the upstreams that the last call of Rank left out.
func (s *Service) Excluded() Excluded { return s.excluded }

// estimate returns the expected response time of a request sent now to an upstream with the given slowdown. mean is the service time
// of its route.
func (s *Service) estimate(u *upstreamState, mean time.Duration, slowdown float64, r Requirements, now time.Time) time.Duration {
	slots, occupied := u.slots(), u.occupied(now)
	estimate := float64(mean) * slowdown
	if u.cold(now) {
		estimate *= coldFactor
	}
	if float64(occupied+1) > kneeShare*float64(slots) {
		estimate *= kneeFactor
	}
	if occupied >= slots {
		estimate *= 1 + float64(occupied-slots+1)/float64(slots)
	} else {
		estimate *= 1 + 0.1*float64(occupied)/float64(slots) // spreads requests over otherwise equal upstreams
	}
	roundTrip := u.roundTrip
	if roundTrip == 0 && u.Zone != r.Zone {
		roundTrip = defaultRoundTrip
	}
	return time.Duration(estimate) + roundTrip
}

// Begin records that a request is being sent to an upstream. The caller reports its outcome with End.
func (s *Service) Begin(id string, now time.Time) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.inflight++
	u.sentSinceLoad++
	if u.cold(now) {
		u.refillColdTokens(now, s.cfg.ColdPerSecond)
		u.coldTokens--
	}
	if u.limit != nil {
		u.limit.tokens--
	}
}

// End records the outcome of a request.
func (s *Service) End(id string, outcome Outcome, now time.Time) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.inflight = max(0, u.inflight-1)
	switch outcome {
	case Succeeded:
		u.recordSuccess(now)
		u.backoff = 0
	case Failed:
		u.recordFailure(now)
	case Shed:
		u.load.Waiting++ // it has become busier since the last load report
	case AddressReassigned:
		u.addressReassigned = true
	case Unreachable:
		s.RecordUnreachable(id, now)
	}
}

// RecordServiceTime updates the service time of a route with the duration of a request. If upstreams report their
// slowdown, requests count only if a current load showed normal speed when they were sent. When the response arrives, the
// last known load may be as old as the request, and no longer shows the speed at which it ran.
func (s *Service) RecordServiceTime(r Requirements, c Candidate, duration time.Duration) {
	if s.reportsSlowdown && !c.NormalSpeed {
		return
	}
	s.serviceTime(r).record(duration)
}

// RecordLoad records the load that an upstream reported.
func (s *Service) RecordLoad(id string, l Load, now time.Time) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.load, u.loadAt, u.sentSinceLoad = l, now, 0
	if l.Slowdown > 0 {
		s.reportsSlowdown = true
		s.meanSlowdown += slowdownGain * (l.Slowdown - s.meanSlowdown)
	}
}

// RecordProbe records a health response. An upstream that is not healthy is not used for minBackoff.
func (s *Service) RecordProbe(id string, healthy bool, warmupLeft, roundTrip time.Duration, now time.Time) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.backoff, u.backoffUntil = 0, time.Time{}
	u.roundTrip, u.probedAt = roundTrip, now
	wasCold := u.cold(now)
	u.ColdUntil = now.Add(warmupLeft)
	if !wasCold && warmupLeft > 0 {
		u.coldRefilledAt, u.coldTokens = now, 0
	}
	if !healthy {
		u.backoffUntil = now.Add(minBackoff)
	}
}

// NormalSpeed reports whether a current load shows that the upstream runs requests at normal speed.
func (s *Service) NormalSpeed(id string, now time.Time) bool {
	u := s.upstreams[id]
	return u != nil && u.normalSpeed(now)
}

// HedgeDelay returns the time after which a request without a response is hedged.
func (s *Service) HedgeDelay(r Requirements) time.Duration {
	return s.serviceTime(r).hedgeDelay(r.Target)
}

// OverdueDelay returns the time within which an upstream at normal speed should have responded to a request.
func (s *Service) OverdueDelay(r Requirements) time.Duration {
	return s.serviceTime(r).overdueDelay(r.LatencyTarget)
}

// ServiceTime returns the mean duration of a request on an upstream at normal speed.
func (s *Service) ServiceTime(r Requirements) time.Duration { return s.serviceTime(r).mean }
