package gateway

import (
	"time"
)

// runHedged runs an attempt and, if it has no result after the class's hedge delay, a second one on another upstream
// within the retry budget. The first usable response is returned and the other attempt is cancelled.
func (g *Gateway) runHedged(c *call, first *attempt) *attempt {
	results := make(chan *attempt, 2)
	start := func(a *attempt) {
		go func() {
			a.run()
			results <- a
		}()
	}
	start(first)
	timer := time.NewTimer(time.Duration(c.class.HedgeAfterMillis) * time.Millisecond)
	defer timer.Stop()
	var second, failed *attempt
	for running := 1; ; {
		select {
		case a := <-results:
			running--
			c.merge(a)
			other := first
			if a == first {
				other = second
			}
			if a.usable() {
				discardOther(results, other, running, failed)
				return a
			}
			if running == 0 {
				return preferredFailure(a, failed)
			}
			failed = a
		case <-timer.C:
			if second = g.newHedge(c, first); second != nil {
				running++
				start(second)
			}
		}
	}
}

// usable reports whether the attempt has a response that is not a server error to retry.
func (a *attempt) usable() bool { return a.err == nil && !a.hasFailureStatus() }

// discardOther discards the attempt that is not used, whether it is still running or has already failed.
func discardOther(results <-chan *attempt, other *attempt, running int, failed *attempt) {
	if failed != nil {
		failed.discard()
	}
	if running > 0 {
		other.cancel()
		go func() { (<-results).discard() }()
	}
}

// preferredFailure returns the result to use if both attempts failed: a response if there is one, otherwise the
// failure of a request that was sent in preference to one that was not.
func preferredFailure(a, b *attempt) *attempt {
	if b == nil {
		return a
	}
	if b.err == nil || (a.err != nil && b.sent && !a.sent) {
		a, b = b, a
	}
	b.discard()
	return a
}

// newHedge returns a second attempt, or nil if the retry budget is used up or no other upstream can take
// the request now.
func (g *Gateway) newHedge(c *call, first *attempt) *attempt {
	s := c.serviceView.service
	if !s.retryBudget.Take(time.Now()) {
		return nil
	}
	request := c.schedulerRequest()
	request.Exclude = append([]string{first.assignment.UpstreamID}, c.exclude...)
	request.NoQueue = true
	got, err := s.acquire(c.ctx, newWaiter(request))
	if err != nil {
		s.retryBudget.Return()
		return nil
	}
	g.metrics.increment(c.serviceView.config.Name, "hedges")
	return g.newAttempt(c, got.assignment)
}
