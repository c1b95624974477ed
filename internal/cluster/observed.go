package cluster

import (
	"context"
	"time"

	"github.com/bramleypick/bramleypick/registry"
)

// RecordLeaving records that one incarnation of an upstream said in a response that it leaves. This process knows it at once,
// and the others once the call has returned nil. It does nothing if the upstream has announced it itself.
func (c *Cluster) RecordLeaving(ctx context.Context, upstream string, incarnation int64) error {
	e, ok := c.registry.Get(upstream)
	if !ok || e.Incarnation != incarnation || e.State == registry.Gone {
		return nil
	}
	e.State = registry.Draining
	c.merge(e)
	return c.Announce(ctx, e)
}

// RecordWarmup records that one incarnation of an upstream has turned cold again. This process knows it at once, and the others
// once the call has returned nil.
func (c *Cluster) RecordWarmup(ctx context.Context, upstream string, incarnation int64, left time.Duration) error {
	e, ok := c.registry.Get(upstream)
	if !ok || e.Incarnation != incarnation || e.State != registry.Ready {
		return nil
	}
	e.WarmupLeft, e.Observed = left, true
	c.merge(e)
	return c.Announce(ctx, e)
}
