package gateway

import "github.com/bramleypick/bramleypick/resultcode"

// withRetryBudget counts the request in for the retry budget. Each try then waits on its own.
func (g *Gateway) withRetryBudget(next handler) handler {
	return func(c *call) error {
		c.service.runtime.retries.RecordFirstAttempt()
		return next(c)
	}
}

// waitInQueue waits in the queue for an upstream, or for the news that a peer gateway should take the request.
func (g *Gateway) waitInQueue(c *call) (grant, *resultcode.Error) {
	c.attempts++
	w := newWaiter(c.schedulerRequest())
	w.mayForward = !c.forwarded && c.firstFailure == nil
	return c.service.runtime.acquire(c.ctx, w)
}
