package rollout

import (
	"maps"
	"slices"
	"time"
)

// Evidence is what all gateways have reported about one rollout.
type Evidence struct {
	order    uint64
	gateways map[process]*gatewayEvidence
	routes   map[string]*comparison
	requests map[string]uint64 // by route
	// sentNew counts the attempts at the new version.
	sentNew uint64
	// full is set once all requests use the new version.
	full bool
}

// process identifies a gateway between two starts. What an earlier process reported still counts.
type process struct {
	gateway     string
	incarnation int64
}

type gatewayEvidence struct {
	seq      uint64
	last     ServiceReport
	applied  uint64
	reported time.Time // when the report arrived
}

// NewEvidence returns the evidence about the rollout that an order started, before any report.
func NewEvidence(order uint64) *Evidence {
	return &Evidence{
		order: order, gateways: make(map[process]*gatewayEvidence), routes: make(map[string]*comparison),
		requests: make(map[string]uint64),
	}
}

// Record adds what a gateway has counted since its last report. Reports that arrive again or out of order add nothing.
func (e *Evidence) Record(r *Report, service string, now time.Time) {
	id := process{r.Gateway, r.Incarnation}
	g := e.gateways[id]
	if g == nil {
		g = &gatewayEvidence{}
		e.gateways[id] = g
	}
	if r.Seq <= g.seq {
		return
	}
	g.seq, g.applied, g.reported = r.Seq, r.Applied, now
	s, ok := r.Services[service]
	if !ok || s.Order != e.order {
		return // the gateway does not know the order yet
	}
	for route, counts := range s.Routes {
		before := g.last.Routes[route]
		old, added := counts.Old.sub(&before.Old), counts.New.sub(&before.New)
		c := e.routes[route]
		if c == nil {
			c = &comparison{}
			e.routes[route] = c
		}
		if e.full {
			// The last responses of the old version are the slow ones, and say nothing about its usual speed.
			old = Outcomes{}
		}
		c.add(&old, &added, now)
		e.requests[route] += less(counts.Requests, before.Requests)
		e.sentNew += added.Sent
	}
	g.last = s
}

// compare returns the strongest evidence against the new version, of which the given number of upstreams get requests, and its
// route.
func (e *Evidence) compare(upstreams int) (worst finding, route string) {
	for _, name := range slices.Sorted(maps.Keys(e.routes)) {
		if f := e.routes[name].worst(upstreams); f.level > worst.level {
			worst, route = f, name
		}
	}
	return worst, route
}

// Requests returns the number of requests of the service since the order.
func (e *Evidence) Requests() uint64 {
	total := uint64(0)
	for _, n := range e.requests {
		total += n
	}
	return total
}

// SentNew returns the number of attempts at the new version since the order.
func (e *Evidence) SentNew() uint64 { return e.sentNew }

// Contact is what is known of a live gateway.
type Contact struct {
	Gateway string
	// Since is when the gateway was first known, or when this evidence was begun if that is later.
	Since time.Time
}

// Confirmation is the state of the gateways with regard to a step.
type Confirmation struct {
	// Missing is the number of gateways that have not confirmed the step, and Silent the number of those that count as out of
	// contact and are not waited for.
	Missing, Silent int
	// OldInFlight is the number of attempts at the old version that have not ended, over all gateways that have reported recently.
	OldInFlight int
}

// silentAfter is the time without a report after which a gateway counts as out of contact. It reports every 250 ms, and through
// another replica each time. A gateway is in contact only if its links have been undisturbed for 3 s.
const silentAfter = 2 * time.Second

// Confirmed returns which of the live gateways apply the view at an index or a later one.
func (e *Evidence) Confirmed(index uint64, live []Contact, now time.Time) Confirmation {
	newest := make(map[string]*gatewayEvidence, len(live))
	incarnations := make(map[string]int64, len(live))
	for id, g := range e.gateways {
		if newest[id.gateway] == nil || id.incarnation > incarnations[id.gateway] {
			newest[id.gateway], incarnations[id.gateway] = g, id.incarnation
		}
	}
	var c Confirmation
	for _, l := range live {
		g := newest[l.Gateway]
		heard := l.Since
		if g != nil && g.reported.After(heard) {
			heard = g.reported
		}
		silent := now.Sub(heard) > silentAfter
		if g != nil && !silent {
			c.OldInFlight += g.last.OldInFlight
		}
		switch {
		case g != nil && g.applied >= index:
		case silent:
			c.Silent++
		default:
			c.Missing++
		}
	}
	return c
}

// Heard returns the number of live gateways that have reported.
func (e *Evidence) Heard(live []Contact) int {
	reported := make(map[string]bool, len(e.gateways))
	for id := range e.gateways {
		reported[id.gateway] = true
	}
	n := 0
	for _, l := range live {
		if reported[l.Gateway] {
			n++
		}
	}
	return n
}
