package quota

import "time"

// ownBucket is what a gateway may use of an account while it is alone: its reserve and share, and its part of the bound's extra.
type ownBucket struct {
	episode uint64 // Gateway.episode
	// level includes slack, which was not the owner's to give.
	level, slack, capacity float64
	refilledAt             time.Duration
}

// refillOwn starts the bucket of a period alone, and refills it. Levels are fractions of a request for most accounts; a random part
// is added, so that the gateways together admit what they have together although each one can only admit whole requests.
func (a *localAccount) refillOwn(g *Gateway, now time.Duration) {
	b := &a.own
	if b.episode != g.episode {
		*b = ownBucket{episode: g.episode, refilledAt: g.unansweredSince}
		b.slack = ownSlack*g.bound.extra(a.limit)/float64(max(1, g.gateways)) + g.random()
		b.level = b.slack
		b.capacity = b.slack
		if a.hasShare(g, now) {
			b.capacity += a.share * (a.limit.Burst + ownAccrual*g.bound.extra(a.limit))
			b.level = min(b.capacity, b.level+a.reserve)
		}
	}
	until := min(now, g.answeredAt+shareLife)
	if a.hasShare(g, b.refilledAt) && until > b.refilledAt {
		b.level = min(b.capacity, b.level+a.share*a.limit.Rate*(until-b.refilledAt).Seconds())
	}
	b.refilledAt = max(b.refilledAt, now)
}

// useOwn admits a request without a token of the owner.
func (a *localAccount) useOwn(g *Gateway, now time.Duration) bool {
	a.refillOwn(g, now)
	if a.own.level < 1 {
		return false
	}
	a.own.level--
	a.used++
	return true
}

// left returns what the gateway could still use alone of what the owner gave.
func (a *localAccount) left(g *Gateway, now time.Duration) float64 {
	if !a.hasShare(g, now) {
		return 0
	}
	if !g.Alone(now) {
		return a.reserve
	}
	a.refillOwn(g, now)
	return max(0, a.own.level-a.own.slack)
}
