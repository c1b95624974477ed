package cluster

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/routingstate"
)

// Read returns a view that contains every change acknowledged before the call.
func (c *Cluster) Read(ctx context.Context) (*routingstate.View, error) {
	if r := c.runningReplica(); r != nil {
		return c.readView(ctx, r)
	}
	reply, err := c.callLeader(ctx, methodRead, leaderRequest{})
	if err != nil {
		return nil, err
	}
	return decodeCompressedView(reply)
}

func decodeCompressedView(compressed []byte) (*routingstate.View, error) {
	data, err := decompress(compressed)
	if err != nil {
		return nil, err
	}
	return routingstate.DecodeView(data)
}

// readView returns the view of this process's replica if it contains every change acknowledged before the call, which the
// leader confirms. Otherwise it returns the leader's view.
func (c *Cluster) readView(ctx context.Context, r *replica) (*routingstate.View, error) {
	reply, err := c.viewIndexOnReplica(ctx, r, leaderRequest{})
	var remote *nodelink.RemoteError
	if err != nil && !errors.As(err, &remote) {
		return nil, err
	}
	if err == nil {
		var newest viewIndex
		if err := decode(reply, &newest); err != nil {
			return nil, err
		}
		if view := r.machine.View(); view.Index >= newest.Index {
			return view, nil
		}
	}
	// This replica is behind, or the leader runs a release without methodViewIndex.
	compressed, err := c.readOnReplica(ctx, r, leaderRequest{})
	if err != nil {
		return nil, err
	}
	return decodeCompressedView(compressed)
}

// viewIndexOnReplica returns the index of the leader's view after the leader has confirmed its leadership.
func (c *Cluster) viewIndexOnReplica(ctx context.Context, r *replica, request leaderRequest) ([]byte, error) {
	if reply, done, err := c.forwardToLeader(ctx, r, methodViewIndex, request); done {
		return reply, err
	}
	if err := c.confirmLeadership(ctx, r); err != nil {
		return nil, err
	}
	return encode(viewIndex{Index: r.machine.View().Index})
}

// readOnReplica returns the leader's view, compressed.
func (c *Cluster) readOnReplica(ctx context.Context, r *replica, request leaderRequest) ([]byte, error) {
	if reply, done, err := c.forwardToLeader(ctx, r, methodRead, request); done {
		return reply, err
	}
	if err := c.confirmLeadership(ctx, r); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	view := r.machine.View()
	data, err := r.compressed.of(view.Index, func() ([]byte, error) { return compressView(view) })
	if err != nil {
		return nil, err
	}
	c.log.Info("view read", zap.Uint64("index", view.Index), zap.Int("bytes", len(data)), zap.Float64("ms", milliseconds(startedAt)))
	return data, nil
}

func compressView(view *routingstate.View) ([]byte, error) {
	data, err := view.Encode()
	if err != nil {
		return nil, err
	}
	return compress(data)
}

// confirmLeadership returns once a majority has confirmed that this process's replica is the leader, and everything
// committed before the call has been applied.
func (c *Cluster) confirmLeadership(ctx context.Context, r *replica) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	startedAt := time.Now()
	_, err := r.node.ReadBarrier(ctx)
	if err != nil {
		c.log.Warn("read not confirmed", zap.Float64("ms", milliseconds(startedAt)), zap.Error(err))
	}
	return err
}
