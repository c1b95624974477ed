package edge

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/internal/bodybuffer"
	"github.com/bramleypick/bramleypick/routing"
)

// call is the processing of one client request.
type call struct {
	g             *Gateway
	w             http.ResponseWriter
	r             *http.Request
	id            string
	route         *routing.Route
	account       *routing.Account // nil if the request has none
	keyed         bool             // the configuration declares accounts
	service       *service
	configVersion uint64
	arrived       time.Time
	deadline      time.Time        // the earlier of the client's and the route's
	body          *bodybuffer.Body // nil if it is empty
	fingerprint   string           // identifies requests like this one; see crashes

	token callToken

	attempts int
	// first is the first attempt, and hedged is set once it has waited longer than its hedge delay.
	first  *attempt
	hedged bool
	// mayHaveRun reports whether an upstream may have started the request.
	mayHaveRun bool
	// tried lists the ids of the upstreams to which the request was sent.
	tried []string
	// probed counts the upstreams that were probed.
	probed int
	// admission is nil if all requests of the service are alike. work is the expected service time in ms.
	admission       *admission
	work            float64
	admissionFields []zap.Field // of a request that was not admitted, for the log line
	// bestRejected is the best candidate when no upstream was selected, for the log line of the refusal.
	bestRejected balancing.Candidate
	// excluded are the upstreams that could not be selected at the last attempt to find one.
	excluded balancing.Excluded
	// hedgeExclusion is set while an upstream for a hedge is selected.
	hedgeExclusion *hedgeExclusion
}

func (c *call) repeatable() bool { return c.route.Kind.Repeatable() }

func (c *call) target() time.Duration {
	return milliseconds(c.route.TargetLatencyMillis)
}

func (c *call) requirements() balancing.Requirements {
	r := balancing.Requirements{
		Zone: c.g.cfg.Zone, Route: c.route.Name, LatencyTarget: c.target(), Target: c.target() - time.Since(c.arrived), TimeLeft: c.timeLeft(),
		Large: c.route.Kind.Large(), Exclude: c.tried, OnlyFreeSlots: c.attempts > 0,
		ReuseConnections: c.g.cfg.ReuseConnections,
	}
	if e := c.hedgeExclusion; e != nil {
		r.Hedge, r.ExcludeHosts, r.ExcludeZones = true, e.hosts, e.zones
	}
	return r
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

// run sends the request to upstreams until one responds. It returns the attempt whose response to forward, or the
// failure.
func (c *call) run(ctx context.Context) (*attempt, *failure) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	results := make(chan *attempt, c.route.MaxAttempts+1)
	var running []*attempt
	defer func() {
		// Attempts still running are not needed: another one got a response, or ctx ended.
		for _, a := range running {
			a.cancel()
		}
	}()
	lastFailure := noUpstream
	first, decision := c.startAttempt(ctx, results, true)
	c.recordPlacement(first, decision)
	if decision != balancing.Send {
		return nil, c.notSentFailure(ctx, decision)
	}
	running = append(running, first)
	c.first = first
	defer c.recordFirstAttempt()
	hedgeAfter, overdueAfter := c.timerDelays()
	hedge, overdue := time.NewTimer(hedgeAfter), time.NewTimer(overdueAfter)
	defer hedge.Stop()
	hedgePause := pollInterval
	defer overdue.Stop()
	for len(running) > 0 {
		select {
		case a := <-results:
			running = without(running, a)
			if a.isFinal(c) {
				if a.isHedge {
					c.service.metrics.hedgesWon.Inc(1)
				}
				return a, nil
			}
			lastFailure = a.failure()
			a.discard()
			if len(running) > 0 {
				continue // the other attempt may still succeed
			}
			if next, ok := c.retry(ctx, a, results); ok {
				running = append(running, next)
			} else if a.isForwardable() {
				return a, nil
			}
		case <-hedge.C:
			if next, ok := c.hedge(ctx, results); ok {
				running = append(running, next)
			} else if c.repeatable() && c.attempts < c.route.MaxAttempts {
				// No upstream had capacity, or the retry budget was used up. Either may change while the request waits.
				hedgePause = min(2*hedgePause, maxPollInterval)
				hedge.Reset(hedgePause)
			}
		case <-overdue.C:
			go first.checkOverdue()
		case <-ctx.Done():
			if a := c.takeFinished(results); a != nil {
				running = without(running, a)
				return a, nil
			}
			return nil, c.expiryFailure(ctx)
		case <-c.g.finished:
			return nil, &stoppedAfterStart
		}
	}
	if c.mayHaveRun && lastFailure.code < firstMayHaveRun {
		lastFailure = outcomeUnknown
	}
	return nil, &lastFailure
}

// takeFinished returns a final attempt that completed at the same time as the deadline passed, or nil. Its response is
// forwarded although it is late.
func (c *call) takeFinished(results <-chan *attempt) *attempt {
	for {
		select {
		case a := <-results:
			if a.isFinal(c) {
				return a
			}
			a.discard()
		default:
			return nil
		}
	}
}

// expiryFailure returns the failure after the end of ctx: the client disconnected, or the deadline passed.
func (c *call) expiryFailure(ctx context.Context) *failure {
	if ctx.Err() == context.Canceled {
		return &clientDisconnected
	}
	return &deadlineAfterStart
}

// startAttempt selects an upstream and sends the request to it. If none is suitable and wait is set, it tries again for
// a limited time.
func (c *call) startAttempt(ctx context.Context, results chan<- *attempt, wait bool) (*attempt, balancing.Decision) {
	since := c.arrived.Add(c.token.waited) // a request that waited for a token may wait as long for an upstream as others
	until := since.Add(time.Duration(upstreamWaitShare * float64(c.target())))
	version := c.service.version(c.route.Name, c.attempts)
	for pause := pollInterval; ; {
		r := c.requirements()
		r.Version = uint8(version)
		choice, tracked, probed := c.service.pick(ctx, r)
		decision := choice.Decision
		c.probed += probed
		c.excluded = choice.Excluded
		if decision == balancing.Send {
			c.attempts++
			c.tried = append(c.tried, choice.Best.ID)
			a := newAttempt(ctx, c, r, choice.Best, tracked)
			a.local = choice.Local
			go a.run(results)
			return a, balancing.Send
		}
		if other := c.service.fallback(version); other != version {
			version = other // without a pause: nothing was wrong with the upstreams of the other version
			continue
		}
		c.bestRejected = choice.Best
		now := time.Now()
		if (decision == balancing.LimitReached || decision == balancing.AllPaused) && choice.Excluded.UntilNext > until.Sub(now) {
			return nil, decision // waiting does not help
		}
		if decision == balancing.Unresponsive {
			// Missing probe responses do not show how busy the upstreams are, so waiting longer may help. But if this
			// gateway is partitioned, the client needs enough time left to try another one.
			until, pause = since.Add(time.Duration(unresponsiveWaitShare*float64(c.target()))), min(2*pause, maxPollInterval)
		}
		if !wait || !now.Add(pause).Before(until) {
			return nil, decision
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, decision
		}
	}
}

// notSentFailure returns the failure of a request that was not sent to any upstream.
func (c *call) notSentFailure(ctx context.Context, decision balancing.Decision) *failure {
	switch {
	case ctx.Err() == context.Canceled:
		return &clientDisconnected
	case decision == balancing.Overloaded, decision == balancing.Unresponsive:
		return &allOverloaded
	case decision == balancing.LimitReached:
		return &limitReached
	case decision == balancing.AllPaused:
		f := upstreamsPaused
		f.retryAfter = c.excluded.UntilNext
		return &f
	}
	return &noUpstream
}

// retry sends the request to another upstream after a failed attempt, if the request may run again and the limits
// permit it.
func (c *call) retry(ctx context.Context, a *attempt, results chan<- *attempt) (*attempt, bool) {
	if c.mayHaveRun && !c.repeatable() {
		return nil, false
	}
	next, ok := c.extraAttempt(ctx, results)
	if ok {
		c.service.metrics.retries.Inc(1)
	}
	return next, ok
}

// extraAttempt starts one more attempt if the number of attempts, the time left and the retry budget permit it.
func (c *call) extraAttempt(ctx context.Context, results chan<- *attempt) (*attempt, bool) {
	if c.attempts >= c.route.MaxAttempts || c.timeLeft() < c.minimumTimeLeft() || ctx.Err() != nil {
		return nil, false
	}
	if c.g.crashes.records.blocked(c.fingerprint, time.Now()) {
		return nil, false
	}
	if !c.service.budget.Take(time.Now()) {
		return nil, false
	}
	a, decision := c.startAttempt(ctx, results, false)
	if decision != balancing.Send {
		c.service.budget.Return(time.Now())
	}
	return a, decision == balancing.Send
}

// minimumTimeLeft returns the time left below which another attempt is unlikely to succeed.
func (c *call) minimumTimeLeft() time.Duration {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return c.service.balancer.ServiceTime(c.requirements()) / 2
}

// timerDelays returns the time after which the request is hedged, and the time after which its first attempt is
// overdue.
func (c *call) timerDelays() (hedgeAfter, overdueAfter time.Duration) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	b, r := c.service.balancer, c.requirements()
	return c.hedgeDelay(r), b.OverdueDelay(r)
}

func without(attempts []*attempt, a *attempt) []*attempt {
	rest := attempts[:0]
	for _, other := range attempts {
		if other != a {
			rest = append(rest, other)
		}
	}
	return rest
}
