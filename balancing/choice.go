package balancing

import "slices"

const (
	// MaxProbed bounds the candidates probed for one request. With 40 % of the upstreams unresponsive, none of ten
	// responds in 1 of 10,000 cases.
	MaxProbed = 10
	// enoughProbed is the number of probed candidates after which an acceptable one is chosen although it is not good.
	// With 45 % of the upstreams slow or busy, all four candidates are slow or busy in 1 of 25 cases.
	enoughProbed = 4
	// otherZoneRound is the round of probes from which on one of them goes to another zone. Eight upstreams of the own zone have
	// turned out to be slow or busy before. With all ten in the own zone, requests are refused although other zones have room:
	// 0.5 % instead of 0.2 % in the burst of TestRequestsLeaveTheZoneOnlyForCapacity. One round earlier it is 0.1 %, but without a
	// burst 2.1 % of the requests leave the zone instead of 1.5 %.
	otherZoneRound = 4
	// nearMeanFactor is the ratio of an estimate to the mean service time up to which no other candidate is likely to
	// be much better.
	nearMeanFactor = 1.25
)

// Decision is what to do with a request.
type Decision uint8

const (
	Send         Decision = 1 // send the request to Best
	Wait         Decision = 2 // probe the candidates in Probe, if any, or wait for pending probes
	Overloaded   Decision = 3 // there are upstreams, but none would respond in time
	NoUpstream   Decision = 4 // no upstream may get the request
	Unresponsive Decision = 5 // there are upstreams that might take the request, but none has responded to a probe
	LimitReached Decision = 6 // the request limits of all upstreams that might take the request are used up
	AllPaused    Decision = 7 // all upstreams that might take the request have asked for a pause
)

// Search is the state of the search for an upstream for one request.
type Search struct {
	// Probed is the set of ids of the candidates probed so far.
	Probed map[string]bool
	// CanProbe reports whether probes yield any information and there is time for them.
	CanProbe bool
	// Round is the number of rounds of probes so far.
	Round int
	// Pending reports whether some probes have no response yet.
	Pending bool
	// RoundOver reports whether the last round has taken so long that the next one may start although probes are pending.
	RoundOver bool
	// Excluded are the upstreams that are no candidates.
	Excluded Excluded
}

// Choice is the result of Choose.
type Choice struct {
	Decision Decision
	// Best is the best known candidate.
	Best Candidate
	// Probe lists the candidates to probe next.
	Probe []Candidate
	// Excluded are the upstreams that were no candidates.
	Excluded Excluded
	// Local is the best candidate of the own zone if the request is sent to another one, for the log line. It has no id if there is
	// none.
	Local Candidate
}

// Choose decides what to do with a request, given the candidates in the order of Service.Rank. It chooses the best
// candidate once its load is known and good. An acceptable candidate that is slow or busy is chosen only after others
// were probed, because usually more than half of the upstreams are neither, and a probe takes 2 to 5 ms.
func (r Requirements) Choose(ranked []Candidate, s Search) Choice {
	c := r.choose(ranked, s)
	c.Excluded = s.Excluded
	if c.Decision == Send && c.Best.Zone != r.Zone {
		if i := slices.IndexFunc(ranked, func(l Candidate) bool { return l.Zone == r.Zone }); i >= 0 {
			c.Local = ranked[i]
		}
	}
	return c
}

func (r Requirements) choose(ranked []Candidate, s Search) Choice {
	if len(ranked) == 0 {
		return Choice{Decision: s.Excluded.decision()}
	}
	canProbe := s.CanProbe && len(s.Probed) < MaxProbed
	searching := canProbe || s.Pending
	roundDone := !s.Pending || s.RoundOver
	best, ok := r.firstAdmitted(ranked, searching)
	if len(s.Probed) > 0 {
		// The highest-ranked candidates may not have responded yet; do not wait for them if another one is good.
		if i := slices.IndexFunc(ranked, r.IsGood); i >= 0 && !r.staysLocal(ranked[i], ranked) {
			best, ok = ranked[i], true
		}
	}
	if ok && best.Verified && (!searching || r.IsGood(best)) {
		return Choice{Decision: Send, Best: best}
	}
	if roundDone && (!canProbe || len(s.Probed) >= enoughProbed) {
		if i := slices.IndexFunc(ranked, r.isAcceptable); i >= 0 {
			return Choice{Decision: Send, Best: ranked[i]}
		}
	}
	c := Choice{Decision: Wait, Best: best}
	if !ok {
		c.Best = ranked[0]
	}
	if canProbe && roundDone {
		c.Probe = candidatesToProbe(ranked, best, ok, s.Probed, r.probesInRound(s.Round))
		if r.ReuseConnections && s.Round >= otherZoneRound {
			r.includeOtherZone(c.Probe, ranked, s.Probed)
		}
	}
	if len(c.Probe) > 0 || s.Pending {
		return c
	}
	// No candidate is left to probe.
	if best, ok := r.firstAdmitted(ranked, false); ok {
		return Choice{Decision: Send, Best: best}
	}
	if best, ok := r.lastResort(ranked); ok {
		return Choice{Decision: Send, Best: best}
	}
	c.Decision = Overloaded
	if _, found := r.firstAdmitted(ranked, true); found {
		c.Decision = Unresponsive
	}
	return c
}

// staysLocal reports whether the request is not sent to a candidate because that is in another zone and one of the own zone is
// known to be on time, though it may have no headroom.
func (r Requirements) staysLocal(c Candidate, ranked []Candidate) bool {
	return r.staysInZone() && c.Zone != r.Zone && slices.ContainsFunc(ranked, func(l Candidate) bool {
		return l.Zone == r.Zone && r.isAcceptable(l) && !l.Suspect && l.HasFreeSlot && r.goodEnough(l.Estimate)
	})
}

// decision returns what to do with a request if all upstreams are excluded.
func (e *Excluded) decision() Decision {
	switch {
	case e.Count(RequestLimit) > 0:
		return LimitReached
	case e.Count(Paused) > 0:
		return AllPaused
	}
	return NoUpstream
}

// firstAdmitted returns the first candidate that Admits permits. If canBeProbed is false, it must also be verified.
func (r Requirements) firstAdmitted(ranked []Candidate, canBeProbed bool) (Candidate, bool) {
	for _, c := range ranked {
		if r.Admits(c) && (canBeProbed || c.Verified) {
			return c, true
		}
	}
	return Candidate{}, false
}

// lastResort applies only if all candidates are slow. It returns the first verified one that has a free slot and would
// respond before the deadline: waiting would not find a better one, and a late response is better than none. Retries and
// hedges have no last resort.
func (r Requirements) lastResort(ranked []Candidate) (Candidate, bool) {
	if r.OnlyFreeSlots || slices.ContainsFunc(ranked, func(c Candidate) bool { return !c.Slow }) {
		return Candidate{}, false
	}
	i := slices.IndexFunc(ranked, func(c Candidate) bool { return c.Verified && c.HasFreeSlot && r.beforeDeadline(c) })
	if i < 0 {
		return Candidate{}, false
	}
	return ranked[i], true
}

// isAcceptable reports whether the candidate is known to be able to serve the request.
func (r Requirements) isAcceptable(c Candidate) bool { return c.Verified && c.Fresh() && r.Admits(c) }

// probesInRound returns the number of candidates to probe in a round. The first one is probed alone, because it is good
// in three of four cases, and probes and their connections are most of what a request costs on a small VM. A third or
// later round means that the candidates so far are busy or unresponsive, and its few probes hardly add to their load.
// Where connections are to be reused, the second round asks one candidate too: it is good as often as the first one, and a round
// takes 2 to 5 ms.
func (r Requirements) probesInRound(round int) int {
	switch {
	case round == 0 || round == 1 && r.ReuseConnections:
		return 1
	case round == 1:
		return enoughProbed - 1
	}
	return 2
}

// includeOtherZone replaces the last candidate of a round by the best one of another zone that has not been probed, unless the
// round has one.
func (r Requirements) includeOtherZone(round, ranked []Candidate, probed map[string]bool) {
	elsewhere := func(c Candidate) bool { return c.Zone != r.Zone }
	if len(round) < 2 || slices.ContainsFunc(round, elsewhere) {
		return
	}
	i := slices.IndexFunc(ranked, func(c Candidate) bool { return elsewhere(c) && !c.Fresh() && !probed[c.ID] })
	if i >= 0 {
		round[len(round)-1] = ranked[i]
	}
}

// candidatesToProbe returns up to limit candidates whose load is unknown or out of date and that have not been probed,
// in the order of ranked, but beginning with best if ok is set.
func candidatesToProbe(ranked []Candidate, best Candidate, ok bool, probed map[string]bool, limit int) []Candidate {
	var unknown []Candidate
	if ok && !best.Fresh() && !probed[best.ID] {
		unknown = append(unknown, best)
	}
	for _, c := range ranked {
		if len(unknown) >= limit {
			break
		}
		if !c.Fresh() && !probed[c.ID] && (!ok || c.ID != best.ID) {
			unknown = append(unknown, c)
		}
	}
	return unknown
}
