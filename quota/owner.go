package quota

import (
	"math"
	"slices"
	"time"
)

// Owner grants tokens in one term of the leader of the control group. Its buckets are empty at the start of the term, because it
// does not know what the previous owner granted.
type Owner struct {
	bound     Bound
	term      uint64
	startedAt time.Duration
	limits    map[string]Limit
	accounts  map[string]*ownedAccount
	gateways  map[string]*ownedGateway
	ordered   []*ownedGateway // gateways in the order of their first request
	sweptAt   time.Duration
	// settled is set once settleTime has passed. firstTerm is set until a gateway names an earlier term.
	settled, firstTerm bool
}

// NewOwner returns the owner of a term that starts at time now.
func NewOwner(term uint64, bound Bound, now time.Duration) *Owner {
	return &Owner{
		bound: bound, term: term, startedAt: now, sweptAt: now, firstTerm: true,
		accounts: make(map[string]*ownedAccount), gateways: make(map[string]*ownedGateway),
	}
}

// Term returns the term of the owner.
func (o *Owner) Term() uint64 { return o.term }

// SetLimits replaces the limits by account. Buckets and shares are kept; shares are parts of the rate in force.
func (o *Owner) SetLimits(limits map[string]Limit, now time.Duration) {
	o.limits = limits
	for name, a := range o.accounts {
		limit, ok := limits[name]
		if !ok {
			o.drop(name)
			continue
		}
		a.refill(now)
		a.setLimit(limit, o.bound)
		a.add(0)
	}
}

func (o *Owner) drop(name string) {
	delete(o.accounts, name)
	for _, g := range o.ordered {
		if s := g.shares[name]; s != nil {
			g.remove(s)
		}
	}
}

// Serve responds to a request of a gateway.
func (o *Owner) Serve(r Request, now time.Duration) Grant {
	o.sweep(now)
	g, wasSilent := o.heard(r, now)
	if r.Term != 0 && r.Term != o.term {
		o.firstTerm = false
	}
	grant := Grant{Term: o.term, Seq: r.Seq}
	asked := make(map[string]bool, len(r.Items))
	for _, item := range r.Items {
		asked[item.Account] = true
		limit, ok := o.limits[item.Account]
		if !ok {
			grant.Items = append(grant.Items, GrantItem{Account: item.Account, Tokens: item.Need + item.Spare, Unlimited: true})
			continue
		}
		grant.Items = append(grant.Items, o.serveItem(r, g, item, limit, now))
	}
	if wasSilent {
		o.credit(g, now)
	}
	if now-g.reviewedAt >= KeepAlive {
		g.reviewedAt = now
		grant.Items = append(grant.Items, o.review(r, g, asked, now)...)
	}
	return grant
}

// review renews the shares of a gateway that have changed, in accounts that it did not ask for.
func (o *Owner) review(r Request, g *ownedGateway, asked map[string]bool, now time.Duration) (renewals []GrantItem) {
	for _, s := range slices.Clone(g.ordered) {
		a := s.account
		if asked[s.name] {
			continue
		}
		a.refill(now)
		if r.Acked >= s.sentSeq {
			s.held = s.sent
		}
		if s.held == 0 && now-s.askedAt >= shareIdle {
			g.end(s, now)
			continue
		}
		target, reserve := a.target(s, now), s.held*reservePart*max(0, a.level)
		change := min(target-s.held, max(0, 1-a.allotted-a.unheard()))
		if math.Abs(change) > shareChange*max(target, s.held) || math.Abs(reserve-s.reserve) > reserveChange {
			o.renew(r.Seq, a, s, now)
			renewals = append(renewals, GrantItem{
				Account: s.name, Share: float32(s.sent), Allotted: float32(a.allotted), Reserve: float32(s.reserve), Renewal: true,
			})
		}
	}
	return renewals
}

func (o *Owner) account(name string, limit Limit, now time.Duration) *ownedAccount {
	a := o.accounts[name]
	if a == nil {
		a = &ownedAccount{refilledAt: o.startedAt}
		a.setLimit(limit, o.bound)
		if !o.settled {
			a.known, a.refilledAt = 1, now
		} else if o.firstTerm {
			a.level = limit.Burst
		}
		o.accounts[name] = a
	}
	a.refill(now)
	return a
}

func (o *Owner) serveItem(r Request, g *ownedGateway, item RequestItem, limit Limit, now time.Duration) GrantItem {
	a := o.account(item.Account, limit, now)
	s := g.shares[item.Account]
	if s == nil {
		s = &heldShare{name: item.Account, account: a, chargedAt: now}
		a.holders++
		g.shares[item.Account] = s
		g.ordered = append(g.ordered, s)
	}
	if !s.known && item.Term != 0 && item.Term != o.term {
		a.level += max(0, float64(item.Return))
		a.reported += float64(item.Share)
		a.recordAllotted(item, now)
		if o.settled && now-o.startedAt < shareLife {
			a.known = a.allottedBefore
		}
	}
	o.settle(a, s, item)
	s.held = float64(item.Share)
	if r.Acked < s.sentSeq {
		s.held = max(s.held, s.sent) // the last grant may still arrive
	}
	s.askedAt = now
	need := s.missing(item, now)
	granted := GrantItem{Account: item.Account, Tokens: a.take(need, item.Spare)}
	s.granted += uint64(granted.Tokens)
	if granted.Tokens > 0 {
		s.grantedAt = now
	}
	if granted.Tokens < need {
		granted.WaitMillis = uint32(max(1, a.wait(now).Milliseconds()))
		granted.TokenMillis = uint32(a.untilToken().Milliseconds())
		granted.Hold = now-o.startedAt < holdTime
	}
	o.renew(r.Seq, a, s, now)
	// Only now, so that a gateway does not seem busier than it is because it asks when a request arrives.
	s.demand.add(float64(item.Arrived), now)
	a.demand.add(float64(item.Arrived), now)
	granted.Share, granted.Allotted, granted.Reserve = float32(s.sent), float32(a.allotted), float32(s.reserve)
	return granted
}

// settle corrects the bucket by what the gateway has used on its own and not used of its tokens.
func (o *Owner) settle(a *ownedAccount, s *heldShare, item RequestItem) {
	if s.known {
		// Of what was withheld and not used, the gateway has lost what it could not accumulate.
		withheld := s.charged - counted(item.Used, s.used)
		a.level += min(withheld, float64(item.Return)) + counted(item.Unused, s.unused)
	}
	s.used, s.unused, s.known = max(item.Used, s.used), max(item.Unused, s.unused), true
	s.charged = 0
	a.add(0)
}

// counted returns the events between two states of a counter.
func counted(count, before uint64) float64 { return float64(max(count, before) - before) }

// renew determines the share of a gateway. Shares that others may hold are never given away.
func (o *Owner) renew(seq uint64, a *ownedAccount, s *heldShare, now time.Duration) {
	others := max(0, a.allotted-s.counted)
	share := s.held
	if target := a.target(s, now); target > s.held || target < s.held*(1-shareChange) {
		share = target
	}
	share = float64(float32(min(share, max(0, 1-others-a.unheard()))))
	s.sent, s.sentSeq = share, seq
	s.held = max(s.held, share)
	s.counted = s.held
	a.allotted = others + s.held
	s.reserve = float64(float32(share * reservePart * max(0, a.level)))
}
