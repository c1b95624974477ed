package rollout

import (
	"hash/fnv"
	"time"
)

// Result is the result of an attempt.
type Result uint8

const (
	Succeeded Result = 1
	Failed    Result = 2
	Refused   Result = 3 // the request did not run
	Cancelled Result = 4 // the gateway no longer wanted the response, or the result says nothing about the version
)

// Counter counts the attempts of one gateway for one service since the order of its rollout. It is not safe for concurrent use.
type Counter struct {
	order    uint64
	routes   map[string]*RouteCounts
	inFlight map[*Attempt]struct{}
	// oldInFlight counts the attempts at the old version whose connection is still in use.
	oldInFlight int
}

// Speed is what was known of the speed of an upstream when an attempt was sent to it.
type Speed uint8

const (
	UnknownSpeed Speed = 0
	NormalSpeed  Speed = 1
	Cold         Speed = 2 // its speed says nothing about its version
)

// Attempt is an attempt that a Counter counts.
type Attempt struct {
	counter   *Counter
	counts    *Outcomes
	version   Version
	upstream  string
	speed     Speed
	startedAt time.Time
	over      int // number of boundaries that it has exceeded and that are counted
}

// NewCounter returns a Counter for the rollout that an order started.
func NewCounter(order uint64) *Counter {
	return &Counter{order: order, routes: make(map[string]*RouteCounts), inFlight: make(map[*Attempt]struct{})}
}

// Order returns the index of the order.
func (c *Counter) Order() uint64 { return c.order }

func (c *Counter) route(name string) *RouteCounts {
	r := c.routes[name]
	if r == nil {
		r = &RouteCounts{}
		c.routes[name] = r
	}
	return r
}

// Request counts a request of a route.
func (c *Counter) Request(route string) { c.route(route).Requests++ }

// Begin counts an attempt that is being sent.
func (c *Counter) Begin(route string, v Version, upstream string, speed Speed, now time.Time) *Attempt {
	r := c.route(route)
	a := &Attempt{counter: c, counts: &r.Old, version: v, upstream: upstream, speed: speed, startedAt: now}
	if v == New {
		a.counts = &r.New
	}
	a.counts.Sent++
	c.inFlight[a] = struct{}{}
	if v == Old {
		c.oldInFlight++
	}
	return a
}

// Version returns the version of the upstream.
func (a *Attempt) Version() Version { return a.version }

// End counts the result of the attempt. It is called once.
func (a *Attempt) End(result Result, now time.Time) {
	a.countOver(now)
	delete(a.counter.inFlight, a)
	switch {
	case result == Failed:
		a.Fail()
	case a.speed == Cold:
	case result == Refused:
		a.counts.Refused++
	case result == Succeeded:
		a.counts.All.Within[a.over]++
		if a.speed == NormalSpeed {
			a.counts.Normal.Within[a.over]++
		}
	}
}

// Fail counts a failure, also one that is found after the attempt has ended.
func (a *Attempt) Fail() {
	a.counts.Failed++
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(a.upstream)) // never fails
	a.counts.FailedUpstreams |= 1 << (hash.Sum32() % 64)
}

// Release records that the connection of the attempt is no longer in use. It is called once, before or after End.
func (a *Attempt) Release() {
	if a.version == Old {
		a.counter.oldInFlight--
	}
}

// countOver counts the boundaries that the attempt has exceeded.
func (a *Attempt) countOver(now time.Time) {
	for age := now.Sub(a.startedAt); a.over < Boundaries && age > boundary(a.over); a.over++ {
		if a.speed != Cold {
			a.counts.All.Over[a.over]++
		}
		if a.speed == NormalSpeed {
			a.counts.Normal.Over[a.over]++
		}
	}
}

// Report returns the counts so far. Attempts that are still running count as slow as soon as they are.
func (c *Counter) Report(now time.Time) ServiceReport {
	for a := range c.inFlight {
		a.countOver(now)
	}
	r := ServiceReport{Order: c.order, Routes: make(map[string]RouteCounts, len(c.routes)), OldInFlight: c.oldInFlight}
	for name, counts := range c.routes {
		r.Routes[name] = *counts
	}
	return r
}
