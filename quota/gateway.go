package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Gateway decides about the requests of accounts at one gateway.
type Gateway struct {
	name        string
	incarnation int64
	bound       Bound
	gateways    int
	random      func() float64
	accounts    map[string]*localAccount
	ordered     []*localAccount // accounts by name

	// term is that of the newest grant, seq the number of the last request, acked the highest number that was responded to.
	term, seq, acked uint64
	// sentAt holds the times of the last requests, by number modulo its length.
	sentAt [sentTimes]time.Duration
	// answeredAt is when the last request was sent that was responded to. Shares end shareLife after it.
	answeredAt time.Duration
	// unansweredSince is when the oldest request was sent that was not responded to. It is set if unanswered is.
	unansweredSince time.Duration
	unanswered      bool
	// episode counts the periods in which requests were not responded to.
	episode uint64
	waiting int
}

// sentTimes is the number of requests whose times are kept. A response to an older one comes too late for its tokens.
const sentTimes = 8

// maxWaiting limits the number of requests that wait for tokens in one process. Each one holds its body and a goroutine.
const maxWaiting = 256

// NewGateway returns the gateway of a process. random returns numbers in [0, 1).
func NewGateway(name string, incarnation int64, bound Bound, random func() float64) *Gateway {
	return &Gateway{
		name: name, incarnation: incarnation, bound: bound, gateways: 1, random: random, accounts: make(map[string]*localAccount),
	}
}

// SetLimits replaces the limits by account. gateways is the number of live gateways.
func (g *Gateway) SetLimits(limits map[string]Limit, gateways int) {
	g.gateways = gateways
	for name, a := range g.accounts {
		if _, ok := limits[name]; !ok {
			g.waiting -= a.waiting // Decide admits them
			delete(g.accounts, name)
		}
	}
	for name, limit := range limits {
		if a := g.accounts[name]; a != nil {
			a.limit = limit
		} else {
			g.accounts[name] = &localAccount{name: name, limit: limit}
		}
	}
	g.ordered = slices.SortedFunc(maps.Values(g.accounts), func(a, b *localAccount) int { return cmp.Compare(a.name, b.name) })
}

// unlimited admits a request of an account that has no limit any more.
var unlimited = Decision{Outcome: Admitted, UseBy: math.MaxInt64, Age: NoGrant}

// Alone reports whether no owner responds.
func (g *Gateway) Alone(now time.Duration) bool {
	return g.unanswered && now-g.unansweredSince >= aloneAfter
}

// Arrive decides about a request that has arrived.
func (g *Gateway) Arrive(account string, now time.Duration) Decision {
	a := g.accounts[account]
	if a == nil {
		return unlimited
	}
	a.demand.add(1, now)
	a.arrived++
	d := g.decide(a, now)
	if d.Outcome == Waiting {
		a.waiting++
		g.waiting++
	}
	return d
}

// Decide decides about a request that waits.
func (g *Gateway) Decide(account string, now time.Duration) Decision {
	a := g.accounts[account]
	if a == nil {
		return unlimited
	}
	d := g.decide(a, now)
	if d.Outcome != Waiting {
		g.Leave(account)
	}
	return d
}

// Leave ends the wait of a request without a decision.
func (g *Gateway) Leave(account string) {
	if a := g.accounts[account]; a != nil && a.waiting > 0 {
		a.waiting--
		g.waiting--
	}
}

// Refuse ends the wait of a request that waited for too long.
func (g *Gateway) Refuse(account string, now time.Duration) Decision {
	g.Leave(account)
	if a := g.accounts[account]; a != nil {
		return g.refuse(a, g.decision(a, now), now)
	}
	return unlimited
}

// GiveBack returns the token of a request that was not sent. The owner gets it back if no other request uses it.
func (g *Gateway) GiveBack(account string, d Decision, now time.Duration) {
	a := g.accounts[account]
	switch {
	case a == nil || d.Outcome != Admitted:
	case !d.Token:
		if a.own.episode == g.episode && a.used > a.usedSent {
			a.used--
			a.own.level++
		}
	case d.Expires <= now:
		a.unused++
	default:
		a.batches = append([]batch{{1, d.Expires}}, a.batches...)
	}
}

func (g *Gateway) decision(a *localAccount, now time.Duration) Decision {
	d := Decision{Age: NoGrant, Alone: g.Alone(now)}
	if a.granted {
		d.Age = now - a.grantedAt
	}
	return d
}

func (g *Gateway) decide(a *localAccount, now time.Duration) Decision {
	d := g.decision(a, now)
	if expires, ok := a.useToken(now); ok {
		d.Token, d.Expires, d.UseBy = true, expires, now+tokenLife
		return d
	}
	if d.Alone && a.useOwn(g, now) {
		d.UseBy = now + tokenLife
		return d
	}
	blocked := a.blocked && !a.hold && now < a.blockedUntil
	if d.Alone {
		// An account that was at its limit when the contact was lost is refused at once, since tokens would not come soon.
		blocked = a.blocked && !a.hold && now < a.blockedUntil+blockedAlone
	}
	if blocked || g.waiting >= maxWaiting {
		return g.refuse(a, d, now)
	}
	d.Outcome = Waiting
	return d
}

// refuse determines when the caller is told to return: the refused callers of a gateway get times that are apart by what the
// gateway gets of the rate.
func (g *Gateway) refuse(a *localAccount, d Decision, now time.Duration) Decision {
	d.Outcome = Refused
	share := 1 / float64(max(1, g.gateways))
	if a.hasShare(g, now) {
		share = a.share
	}
	interval := min(seconds(1/(share*a.limit.Rate)), maxRetryAfter)
	earliest := max(a.blockedUntil-now, a.tokenAt-now, min(seconds(1/a.limit.Rate), retryFloor))
	if d.Alone {
		earliest = min(max(earliest, seconds(max(0, 1-a.own.level)/(share*a.limit.Rate))), aloneRetryAfter)
	}
	a.nextSlot = max(a.nextSlot, now+earliest)
	d.RetryAfter = a.nextSlot - now + time.Duration(g.random()*float64(interval))
	if d.RetryAfter > earliest+maxRetryAfter {
		d.RetryAfter = earliest + time.Duration(g.random()*float64(maxRetryAfter))
	}
	a.nextSlot = min(a.nextSlot+interval, now+earliest+maxRetryAfter)
	return d
}

// Waiting returns the number of requests that wait.
func (g *Gateway) Waiting() int { return g.waiting }
