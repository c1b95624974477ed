package cluster

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/resultcode"
	"github.com/bramleypick/bramleypick/routingstate"
)

// submitRollout submits an order on top of the last accepted one about the service, as submitEvacuation does: copies that arrive
// after a later order are rejected.
func (c *Cluster) submitRollout(ctx context.Context, o routingstate.RolloutOrder) (routingstate.Result, error) {
	receivedAt := time.Now()
	if c.pauses.recentlyPaused(receivedAt) {
		c.log.Info("order refused, it may have been sent before a pause of this process", zap.String("service", o.Service),
			zap.String("version", o.Target))
		return routingstate.Result{}, errors.Wrap(ErrControlUnavailable, "this process was paused")
	}
	if config := c.cfg.Rollouts; config != nil {
		o.Share = config.FirstShare()
	}
	o.ReceivedUnixMilli, o.After = receivedAt.UnixMilli(), c.View().Rollouts[o.Service].Order
	for {
		result, err := c.submit(ctx, routingstate.Command{StartRollout: &o})
		if err != nil || result.Code != resultcode.VersionConflict {
			return result, err
		}
		c.log.Info("another order about the service was accepted first", zap.String("service", o.Service),
			zap.String("version", o.Target), zap.Uint64("after", o.After), zap.Uint64("last_order", result.LastOrder), zap.Float64("ms", milliseconds(receivedAt)))
		if err := ctx.Err(); err != nil {
			return routingstate.Result{}, errors.Wrap(err, "the caller no longer waits")
		}
		if time.Since(receivedAt) > orderTimeout {
			return routingstate.Result{}, errors.Wrap(ErrControlUnavailable, "the caller may have sent the order again")
		}
		o.After = result.LastOrder
	}
}

// ReadRollout returns the last rollout of a service with every decision acknowledged before the call. The view need not be
// transferred if this process has it already.
func (c *Cluster) ReadRollout(ctx context.Context, service string) (routingstate.Rollout, bool, error) {
	view, err := c.readRecent(ctx)
	if err != nil {
		return routingstate.Rollout{}, false, err
	}
	r, ok := view.Rollouts[service]
	return r, ok, nil
}

// readRecent returns a view that contains every change acknowledged before the call, possibly without the operators' texts.
func (c *Cluster) readRecent(ctx context.Context) (*routingstate.View, error) {
	if c.runningReplica() != nil {
		return c.Read(ctx)
	}
	reply, err := c.callLeader(ctx, methodViewIndex, leaderRequest{})
	if err != nil {
		return nil, err
	}
	var newest viewIndex
	if err := decode(reply, &newest); err != nil {
		return nil, err
	}
	if view := c.View(); view.Index >= newest.Index {
		return view, nil
	}
	return c.Read(ctx)
}
