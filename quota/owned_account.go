package quota

import "time"

// ownedAccount is the token bucket of an account at the owner.
type ownedAccount struct {
	limit Limit
	// overdraft is in tokens per second; see Bound.overdraft. heldBackExtra is added to the capacity while shares are withheld.
	overdraft, heldBackExtra float64
	// level is the number of tokens at refilledAt. It is negative if gateways used more on their own than was withheld.
	level      float64
	refilledAt time.Duration
	// allotted is the sum of the shares that gateways may hold, silent that of the gateways that may use them on their own.
	allotted, silent float64
	// holders is the number of gateways that have asked.
	holders int
	// known is the sum of the shares of an earlier term, as of the newest grant that a gateway has reported, and reported the sum of
	// those that gateways have reported as theirs. The difference may be in use at gateways that this owner has not heard of.
	known, reported float64
	// allottedBefore is what known becomes once the owner has settled, and allottedAt the time of that grant. Until then known is 1.
	allottedBefore float64
	allottedAt     time.Duration
	// demand counts the requests that arrived at all gateways.
	demand demand
	// nextDenied is when the next gateway that is refused a token is told to ask again.
	nextDenied time.Duration
}

// unheard returns the sum of the shares of an earlier term that gateways may hold which have not asked in this one.
func (a *ownedAccount) unheard() float64 { return max(0, a.known-a.reported) }

// recordAllotted records the sum of the shares of an earlier term if the gateway has it from a newer grant than others.
func (a *ownedAccount) recordAllotted(i RequestItem, now time.Duration) {
	if at := now - time.Duration(i.AgeMillis)*time.Millisecond; a.allottedAt == 0 || at > a.allottedAt {
		a.allottedBefore, a.allottedAt = float64(i.Allotted), at
	}
}

// refillRate returns the tokens per second that no gateway uses on its own. Of what is withheld for gateways that may be alone,
// the overdraft is granted nevertheless.
func (a *ownedAccount) refillRate() float64 {
	withheld := a.limit.Rate * min(1, a.silent+a.unheard())
	return a.limit.Rate - max(0, withheld-a.overdraft)
}

// refill must be called before silent, known or reported changes.
func (a *ownedAccount) refill(now time.Duration) {
	if now > a.refilledAt {
		a.add(a.refillRate() * (now - a.refilledAt).Seconds())
		a.refilledAt = now
	}
}

// add adds tokens up to the capacity.
func (a *ownedAccount) add(tokens float64) { a.level = min(a.capacity(), a.level+tokens) }

// capacity returns the part of the burst that no gateway may use on its own, and a part of the bound's extra. It is at least one
// token, below which no request could be admitted.
func (a *ownedAccount) capacity() float64 {
	return max(1, min(a.limit.Burst, a.limit.Burst*(1-a.silent-a.unheard())+a.heldBackExtra))
}

// take takes up to need tokens, and up to spare more of what is above the level for tokens in advance.
func (a *ownedAccount) take(need, spare uint32) (tokens uint32) {
	for tokens < need && a.level >= 1 {
		a.level--
		tokens++
	}
	for floor := prefetchLevel * a.limit.Burst; spare > 0 && tokens >= need && a.level-1 >= floor; spare-- {
		a.level--
		tokens++
	}
	return tokens
}

// untilToken returns the time until the bucket has a token.
func (a *ownedAccount) untilToken() time.Duration {
	rate := a.refillRate()
	if rate <= 0 {
		return maxRetryAfter
	}
	return seconds(max(0, 1-a.level) / rate)
}

// wait returns the time after which a gateway that was refused a token is to ask again. Each gateway gets another time, one token
// apart, so that a token is there when it asks.
func (a *ownedAccount) wait(now time.Duration) time.Duration {
	rate := a.refillRate()
	if rate <= 0 {
		return maxWait
	}
	a.nextDenied = max(a.nextDenied+seconds(1/rate), now+a.untilToken())
	a.nextDenied = min(a.nextDenied, now+maxWait)
	return max(a.nextDenied-now, time.Millisecond)
}

// seconds converts a non-negative number of seconds, which may be large.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// maxSeconds keeps conversions to time.Duration in range.
const maxSeconds = 1e6

// target returns the share that a gateway should have: its part of the demand.
func (a *ownedAccount) target(s *heldShare, now time.Duration) float64 {
	if now-s.askedAt >= shareIdle {
		return 0
	}
	holders := float64(max(1, a.holders))
	return (s.demand.value(now) + sharePrior) / (a.demand.value(now) + sharePrior*holders)
}

func (a *ownedAccount) setLimit(l Limit, b Bound) {
	a.limit, a.overdraft, a.heldBackExtra = l, b.overdraft(), heldBack*b.extra(l)
}
