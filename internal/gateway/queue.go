package gateway

import "github.com/bramleypick/bramleypick/resultcode"

// queued waits for an upstream, or for the news that a peer gateway should take the request.
func (g *Gateway) queued(next handler) handler {
	return func(c *call) error {
		c.service.runtime.retries.FirstTry()
		c.waiter = newWaiter(c.request())
		c.waiter.mayForward = !c.forwarded
		return next(c)
	}
}

// wait puts the call into the queue. After the first time it is never forwarded.
func (g *Gateway) wait(c *call) (grant, *resultcode.Error) {
	if c.tries > 0 {
		c.waiter = newWaiter(c.request())
	}
	c.tries++
	got, err := c.service.runtime.acquire(c.ctx, c.waiter)
	return got, err
}
