package quota

import (
	"slices"
	"time"
)

// heard records that a gateway has sent a request, and reports whether it was silent before.
func (o *Owner) heard(r Request, now time.Duration) (g *ownedGateway, wasSilent bool) {
	g = o.gateways[r.Gateway]
	if g != nil && g.incarnation != r.Incarnation {
		o.forget(g, now)
		g = nil
	}
	if g == nil {
		g = &ownedGateway{name: r.Gateway, incarnation: r.Incarnation, shares: make(map[string]*heldShare)}
		o.gateways[r.Gateway] = g
		o.ordered = append(o.ordered, g)
	}
	if wasSilent = g.silent; wasSilent {
		o.charge(g, now)
		g.silent = false
		for _, s := range g.ordered {
			s.account.silent = max(0, s.account.silent-s.held)
		}
	}
	g.heardAt = now
	return g, wasSilent
}

// credit returns what was withheld for accounts that the gateway has not used on its own: it names the others in its request.
func (o *Owner) credit(g *ownedGateway, now time.Duration) {
	for _, s := range g.ordered {
		if a := s.account; s.charged > 0 {
			a.refill(now)
			a.add(min(s.charged, s.reserve))
			s.charged = 0
		}
	}
}

// charge updates what is withheld for the shares of a silent gateway. The refill has left it out already.
func (o *Owner) charge(g *ownedGateway, now time.Duration) {
	for _, s := range g.ordered {
		s.account.refill(now)
		s.charged += s.held * s.account.limit.Rate * max(0, (now-s.chargedAt).Seconds())
		s.chargedAt = now
	}
}

// sweep finds gateways that have fallen silent and shares that have ended.
func (o *Owner) sweep(now time.Duration) {
	if now-o.sweptAt < sweepInterval {
		return
	}
	o.sweptAt = now
	if !o.settled && now-o.startedAt >= settleTime {
		o.endSettling(now)
	}
	if now-o.startedAt >= shareLife {
		for _, a := range o.accounts {
			a.refill(now)
			a.known, a.reported = 0, 0
		}
	}
	for _, g := range slices.Clone(o.ordered) {
		if !g.silent && now-g.heardAt >= silentAfter {
			o.silence(g, now)
		}
		if now-g.heardAt >= shareLife {
			o.forget(g, now)
		}
	}
}

// endSettling replaces the assumption that all shares are held elsewhere by what the gateways have reported.
func (o *Owner) endSettling(now time.Duration) {
	o.settled = true
	for _, a := range o.accounts {
		a.refill(now)
		a.known = a.allottedBefore
		if o.firstTerm {
			a.level = a.limit.Burst
		}
	}
}

// silence withholds what a gateway may use on its own since it was last heard, and its shares from now on.
func (o *Owner) silence(g *ownedGateway, now time.Duration) {
	g.silent = true
	for _, s := range g.ordered {
		a := s.account
		a.refill(now)
		s.charged = s.reserve + s.held*a.limit.Rate*(now-g.heardAt).Seconds()
		s.chargedAt = now
		a.level -= s.charged
		a.silent += s.held
	}
}

func (o *Owner) remove(g *ownedGateway) {
	delete(o.gateways, g.name)
	o.ordered = slices.DeleteFunc(o.ordered, func(other *ownedGateway) bool { return other == g })
}

// forget ends the shares of a gateway whose process has ended or has not been heard for shareLife.
func (o *Owner) forget(g *ownedGateway, now time.Duration) {
	for _, s := range slices.Clone(g.ordered) {
		g.end(s, now)
	}
	o.remove(g)
}
