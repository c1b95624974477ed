package hedging

import (
	"time"

	"github.com/bramleypick/bramleypick/retrybudget"
)

const (
	// budgetWindow is the period over which hedges are limited. A gateway with one request a second may send one hedge in 20 s at
	// a limit of 5 %; in a shorter window it could send none.
	budgetWindow = 60 * time.Second
	// initialTargetShare of the latency target is the delay while too few response times are known.
	initialTargetShare = 0.5
	// minQuantile bounds the quantile from below, for limits above a half.
	minQuantile = 0.5
)

// Policy decides about the hedges of one service in one gateway.
type Policy struct {
	limit  float64
	budget *retrybudget.Window
	routes map[string]*distribution
	waits  map[string]map[string]int // by zone and upstream: requests that have waited longer than their delay
}

// New returns a policy that permits at most limit hedges for each request in any minute. Each gateway keeps the limit for its own
// requests, so that it holds over all gateways together. Zero permits none.
func New(limit float64) *Policy {
	return &Policy{
		limit: limit, budget: retrybudget.NewWindow(budgetWindow, limit, 0), routes: make(map[string]*distribution),
		waits: make(map[string]map[string]int),
	}
}

// RecordRequest records a request of the service, hedged or not, repeatable or not.
func (p *Policy) RecordRequest(now time.Time) { p.budget.RecordFirstAttempt(now) }

// RecordAttempt records the response time of the first attempt of a request, or the time until it was cancelled because a hedge
// had a response.
func (p *Policy) RecordAttempt(route string, duration time.Duration, now time.Time) {
	if p.limit == 0 {
		return
	}
	d := p.routes[route]
	if d == nil {
		d = newDistribution(now)
		p.routes[route] = d
	}
	d.record(duration, now)
}

// RetainRoutes drops the response times of all other routes.
func (p *Policy) RetainRoutes(exists func(route string) bool) {
	for route := range p.routes {
		if !exists(route) {
			delete(p.routes, route)
		}
	}
}

// Delay returns the time after which a request without a response is hedged. The share of the requests that takes longer is the
// limit, so that hedges go to the slowest requests. Earlier hedges would use up the limit for requests that are only a little slow.
// target is the latency target of the request, of which a share is used while there are too few response times; zero means none.
// Delay returns false if no hedges are permitted.
func (p *Policy) Delay(route string, target time.Duration, now time.Time) (time.Duration, bool) {
	if p.limit == 0 {
		return 0, false
	}
	d := p.routes[route]
	if d == nil {
		d = newDistribution(now)
	}
	delay, ok := d.quantile(max(1-p.limit, minQuantile), now)
	if !ok {
		return time.Duration(initialTargetShare * float64(target)), target > 0
	}
	return delay, true
}

// Take reserves one hedge. It reports whether the limit permits it.
func (p *Policy) Take(now time.Time) bool { return p.limit > 0 && p.budget.Take(now) }

// Return gives back a hedge that was not sent.
func (p *Policy) Return(now time.Time) { p.budget.Return(now) }
