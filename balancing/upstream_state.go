package balancing

import (
	"math"
	"time"
)

const (
	// FreshFor is the age up to which a load counts as current. Slow periods last about 500 ms, so a load that is 25 ms
	// old is wrong in about 1 of 20 cases.
	FreshFor = 25 * time.Millisecond
	// slowThreshold is the slowdown from which an upstream counts as slow. At normal speed, upstreams report 1 with
	// some spread.
	slowThreshold = 2.0
	// slowdownDecay is the time constant with which a reported slowdown decays to the service's mean. A load that is
	// older than that is not used to tell whether the upstream is slow or how many requests it has.
	slowdownDecay = 300 * time.Millisecond
	// failureDecay is the time constant of the failure score.
	failureDecay = 2 * time.Second
	// failureWeight is the amount that one failure adds to the failure score. A success multiplies the score by
	// 1 - failureWeight/2.
	failureWeight = 0.4
	// reportedFailureWeight is the amount that one failure reported by another gateway adds to the score of reported
	// failures. Two of them within 2.7 s are needed to make an upstream suspect, because 0.4 % of the requests fail on any
	// upstream.
	reportedFailureWeight = 0.2
	// reportedFailureDecay is the time constant of the score of reported failures, and maxReportedScore bounds that
	// score. Together they let an upstream be used again 5 s after it has recovered. With a shorter decay more requests
	// fail, see TestReportedFailuresReduceErrors.
	reportedFailureDecay = 4 * time.Second
	maxReportedScore     = 1.0
	// suspectThreshold is the value of either score above which an upstream is suspect: it is used only if no other one
	// is available.
	suspectThreshold = 0.3
	// Upstreams slow down when they are nearly full: above kneeShare of the slots, by kneeFactor.
	kneeShare  = 0.8
	kneeFactor = 1.5
	// headroomShare is the share of the slots up to which several gateways may choose an upstream at the same time. The
	// requests of other gateways show in its load only after 10 ms.
	headroomShare = 0.7
	// coldFactor is the slowdown of a cold upstream.
	coldFactor = 2.0
	// minBackoff is the time for which an upstream is not used after it was unreachable or reported that it is not
	// healthy. Each time it is unreachable again, without a probe response or a successful request in between, the time
	// doubles, up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// coldBurst is the capacity of the token bucket for requests to a cold upstream.
	coldBurst = 1.0
	// verifiedFor is the time for which a health response counts as proof that an upstream is not cold. Upstreams can
	// become cold at any moment.
	verifiedFor = 200 * time.Millisecond
)

// upstreamState is an upstream with the load, failures and requests that this gateway has recorded for it.
type upstreamState struct {
	Upstream
	load              Load
	loadAt            time.Time
	sentSinceLoad     int // requests sent after loadAt
	inflight          int
	failures          float64 // score at failuresAt
	failuresAt        time.Time
	reportedFailures  float64 // score of reported failures at reportedAt; see Service.RecordReportedFailures
	reportedAt        time.Time
	backoffUntil      time.Time // the upstream is not used before this time
	backoff           time.Duration
	addressReassigned bool // another upstream has the address
	leaving           bool // see Service.RecordLeaving
	pausedUntil       time.Time
	coldTokens        float64
	coldRefilledAt    time.Time
	limit             *requestLimit // nil if the upstream names none
	roundTrip         time.Duration
	probedAt          time.Time     // of the last health response
	idleLimit         time.Duration // for which this gateway keeps idle connections
}

func (u *upstreamState) slots() int {
	if u.load.Slots > 0 {
		return u.load.Slots
	}
	return max(1, u.Slots)
}

// occupied estimates the number of requests that are running or queued at the upstream.
func (u *upstreamState) occupied(now time.Time) int {
	if u.loadAt.IsZero() || now.Sub(u.loadAt) > slowdownDecay {
		return u.inflight
	}
	return max(u.inflight, u.load.Running+u.load.Waiting+u.sentSinceLoad)
}

// decayed returns a value after exponential decay. After ten time constants the rest is negligible.
func decayed(value float64, after, constant time.Duration) float64 {
	if value == 0 || after > 10*constant {
		return 0
	}
	return value * math.Exp(-float64(after)/float64(constant))
}

func (u *upstreamState) hasHeadroom(now time.Time) bool {
	occupied := u.occupied(now)
	return occupied == 0 || float64(occupied+1) <= headroomShare*float64(u.slots())
}

func (u *upstreamState) failureScore(now time.Time) float64 {
	return decayed(u.failures, now.Sub(u.failuresAt), failureDecay)
}

func (u *upstreamState) recordFailure(now time.Time) {
	u.failures, u.failuresAt = min(2, u.failureScore(now)+failureWeight), now
}

func (u *upstreamState) recordSuccess(now time.Time) {
	u.failures, u.failuresAt = u.failureScore(now)*(1-failureWeight/2), now
}

func (u *upstreamState) reportedScore(now time.Time) float64 {
	return decayed(u.reportedFailures, now.Sub(u.reportedAt), reportedFailureDecay)
}

func (u *upstreamState) suspect(now time.Time) bool {
	return u.suspectHere(now) || u.reportedScore(now) > suspectThreshold
}

// suspectHere reports whether the upstream is suspect because of failures that this gateway has seen itself.
func (u *upstreamState) suspectHere(now time.Time) bool {
	return u.failureScore(now) > suspectThreshold
}

// slowdown returns the last reported slowdown, decayed by its age to the service's mean.
func (u *upstreamState) slowdown(now time.Time, mean float64) float64 {
	if u.load.Slowdown <= 0 {
		return mean
	}
	return mean + decayed(u.load.Slowdown-mean, now.Sub(u.loadAt), slowdownDecay)
}

func (u *upstreamState) normalSpeed(now time.Time) bool {
	return u.load.Slowdown > 0 && u.load.Slowdown < slowThreshold && u.load.Waiting == 0 && now.Sub(u.loadAt) <= FreshFor
}

// loadAge returns the age of the last load, or one hour if there is none.
func (u *upstreamState) loadAge(now time.Time) time.Duration {
	if u.loadAt.IsZero() {
		return time.Hour
	}
	return now.Sub(u.loadAt)
}

func (u *upstreamState) slow(now time.Time) bool {
	return u.load.Slowdown >= slowThreshold && now.Sub(u.loadAt) <= slowdownDecay
}

func (u *upstreamState) cold(now time.Time) bool { return now.Before(u.ColdUntil) }

func (u *upstreamState) ownedWhileCold() bool { return u.ColdOwner != nil && u.ColdOwner() }

// refillColdTokens refills the token bucket for requests to a cold upstream and returns the available tokens.
func (u *upstreamState) refillColdTokens(now time.Time, perSecond float64) float64 {
	u.coldTokens = min(coldBurst, u.coldTokens+now.Sub(u.coldRefilledAt).Seconds()*perSecond)
	u.coldRefilledAt = now
	return u.coldTokens
}
