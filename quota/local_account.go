package quota

import (
	"math"
	"time"
)

// localAccount is the state of an account at a gateway.
type localAccount struct {
	name  string
	limit Limit
	// batches are the tokens of the owner, the oldest first.
	batches []batch
	demand  demand
	// arrived counts the requests since the last request to the owner, waiting those that wait for a token.
	arrived uint32
	waiting int
	// used, unused and their values in the last request and in the last one that was responded to; see RequestItem.
	used, usedSent, usedAcked       uint64
	unused, unusedSent, unusedAcked uint64
	received                        uint64

	// share, allotted and reserve are those of the last grant, of the given term. grantedAt is when it was asked for.
	share, allotted, reserve float64
	term                     uint64
	grantedAt                time.Duration
	granted                  bool // there was a grant

	// blockedUntil is when the owner is asked again after it had too few tokens, blocked whether it had too few at last.
	blockedUntil time.Duration
	// tokenAt is when the owner has a token again, as of the last grant.
	tokenAt time.Duration
	blocked bool
	// hold is set if requests wait until blockedUntil instead of being refused.
	hold bool
	// spareAt is when tokens may be prefetched again.
	spareAt time.Duration
	// nextSlot is when the next refused caller is told to return.
	nextSlot time.Duration
	// own is what may be used alone in the period that began at ownSince; see startOwn.
	own ownBucket
}

// batch is a number of tokens that end together.
type batch struct {
	tokens  uint32
	expires time.Duration
}

// dropExpired counts expired tokens as unused.
func (a *localAccount) dropExpired(now time.Duration) {
	for len(a.batches) > 0 && a.batches[0].expires <= now {
		a.unused += uint64(a.batches[0].tokens)
		a.batches = a.batches[1:]
	}
}

func (a *localAccount) tokens() (n uint32) {
	for _, b := range a.batches {
		n += b.tokens
	}
	return n
}

// useToken uses a token of the owner.
func (a *localAccount) useToken(now time.Duration) (expires time.Duration, ok bool) {
	a.dropExpired(now)
	if len(a.batches) == 0 {
		return 0, false
	}
	expires = a.batches[0].expires
	if a.batches[0].tokens--; a.batches[0].tokens == 0 {
		a.batches = a.batches[1:]
	}
	return expires, true
}

// hasShare reports whether the share may still be used alone.
func (a *localAccount) hasShare(g *Gateway, now time.Duration) bool {
	return a.granted && a.share > 0 && now-g.answeredAt < shareLife
}

// needs reports whether requests wait for which the owner is to be asked.
func (a *localAccount) needs(now time.Duration) bool { return a.waiting > 0 && now >= a.blockedUntil }

// spare returns the number of tokens to prefetch. It is zero until half of them are used, so that one message serves several
// requests.
func (a *localAccount) spare(now time.Duration) uint32 {
	if a.arrived == 0 || a.blocked || now < a.spareAt {
		return 0
	}
	target := math.Floor(a.demand.rate(now) * prefetchTime.Seconds())
	have := float64(a.tokens())
	if 2*have > target {
		return 0
	}
	return uint32(target - have)
}
