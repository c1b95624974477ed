package balancing

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Exclusion is the reason why an upstream may not get a request now.
type Exclusion uint8

// Reasons, in the order in which they are checked.
const (
	NotExcluded   Exclusion = 0
	Tried         Exclusion = 1  // the request was sent to it before
	Evacuated     Exclusion = 2  // its availability zone is evacuated
	Leaving       Exclusion = 3  // it said in a response that it leaves
	Paused        Exclusion = 4  // it asked this gateway for a pause
	Reassigned    Exclusion = 5  // another upstream has its address
	BackingOff    Exclusion = 6  // it could not be reached, or is not healthy
	ColdElsewhere Exclusion = 7  // it is cold, and another gateway sends to it
	ColdLimit     Exclusion = 8  // it is cold, and this gateway has used its part of the limit
	RequestLimit  Exclusion = 9  // this gateway has used its part of the request limit
	OtherVersion  Exclusion = 10 // its version does not get the request
	exclusions              = 11
)

var exclusionNames = [exclusions]string{
	"", "tried", "evacuated", "leaving", "paused", "address_reassigned", "backing_off", "cold_elsewhere", "cold_limit", "request_limit",
	"other_version",
}

// String returns the reason's name in log lines.
func (e Exclusion) String() string { return exclusionNames[e] }

// Excluded counts the upstreams of a service that may not get a request now.
type Excluded struct {
	counts [exclusions]int
	// UntilNext is the time until the first pause or backoff ends, or this gateway may send to an upstream with a request limit
	// again. It is math.MaxInt64 if there is no such upstream.
	UntilNext time.Duration
}

// Count returns the number of upstreams that are excluded for a reason.
func (e *Excluded) Count(reason Exclusion) int { return e.counts[reason] }

// String returns the numbers by reason for a log line.
func (e *Excluded) String() string {
	var parts []string
	for reason, n := range e.counts {
		if n > 0 {
			parts = append(parts, Exclusion(reason).String()+":"+strconv.Itoa(n))
		}
	}
	return strings.Join(parts, " ")
}

// add counts an upstream that may get a request after the given time, or math.MaxInt64 if that is not known.
func (e *Excluded) add(reason Exclusion, wait time.Duration) {
	e.counts[reason]++
	e.UntilNext = min(e.UntilNext, wait)
}

// exclusion returns why an upstream may not get a request now, and the time until it may, or math.MaxInt64 if that is not
// known. It decides for new requests, retries, hedges and probes alike.
func (s *Service) exclusion(u *upstreamState, r Requirements, now time.Time) (Exclusion, time.Duration) {
	const unknown = math.MaxInt64
	switch {
	case r.excludes(&u.Upstream):
		return Tried, unknown
	case u.Evacuated:
		return Evacuated, unknown
	case u.Withheld, r.Version != 0 && r.Version != u.Version:
		return OtherVersion, unknown
	case u.leaving:
		return Leaving, unknown
	case now.Before(u.pausedUntil):
		return Paused, u.pausedUntil.Sub(now)
	case u.addressReassigned:
		return Reassigned, unknown
	case now.Before(u.backoffUntil):
		return BackingOff, u.backoffUntil.Sub(now)
	}
	if u.cold(now) && s.cfg.ColdPerSecond > 0 {
		if !u.ownedWhileCold() {
			return ColdElsewhere, unknown
		}
		if u.refillColdTokens(now, s.cfg.ColdPerSecond) < 1 {
			return ColdLimit, unknown
		}
	}
	if wait := s.untilWithinLimit(u, now); wait > 0 {
		return RequestLimit, wait
	}
	return NotExcluded, 0
}

// MayProbe reports whether a health request may be sent to an upstream. It may not while the upstream leaves, is withheld or has
// asked for a pause, since health requests take the same path as others.
func (s *Service) MayProbe(id string, now time.Time) bool {
	u := s.upstreams[id]
	return u != nil && !u.leaving && !u.Withheld && !now.Before(u.pausedUntil)
}

// RecordLeaving records that one incarnation of an upstream has said that it leaves. It gets no requests until it starts anew.
// RecordLeaving reports whether that was not known.
func (s *Service) RecordLeaving(id string, incarnation int64) bool {
	u := s.upstreams[id]
	if u == nil || u.Incarnation != incarnation || u.leaving {
		return false
	}
	u.leaving = true
	return true
}

// RecordPause records that one incarnation of an upstream wants no requests from this gateway for a time. It reports whether a
// pause begins.
func (s *Service) RecordPause(id string, incarnation int64, pause time.Duration, now time.Time) bool {
	u := s.upstreams[id]
	if u == nil || u.Incarnation != incarnation || pause <= 0 {
		return false
	}
	begins := !now.Before(u.pausedUntil)
	if until := now.Add(pause); until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
	return begins
}

// OwnedWhileCold returns the upstreams to which this gateway may send while they are cold, and to which health requests may be
// sent.
func (s *Service) OwnedWhileCold(now time.Time) []Candidate {
	var owned []Candidate
	for id, u := range s.upstreams {
		if s.MayProbe(id, now) && !now.Before(u.backoffUntil) && u.ownedWhileCold() {
			owned = append(owned, Candidate{ID: id, Address: u.Address, Zone: u.Zone, Incarnation: u.Incarnation})
		}
	}
	return owned
}

// RecordHealth records the response to a periodic health request. Unlike that to a probe, it may have waited for a slot, so that its
// delay says nothing. RecordHealth reports whether the upstream has turned cold.
func (s *Service) RecordHealth(id string, incarnation int64, healthy bool, warmupLeft time.Duration, now time.Time) bool {
	u := s.upstreams[id]
	if u == nil || u.Incarnation != incarnation {
		return false
	}
	if !healthy {
		u.backoffUntil = now.Add(minBackoff)
	}
	if u.cold(now) || warmupLeft <= 0 {
		return false
	}
	u.ColdUntil, u.coldRefilledAt, u.coldTokens = now.Add(warmupLeft), now, 0
	return true
}
