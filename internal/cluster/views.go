package cluster

import (
	"context"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/routingstate"
)

// installView replaces the view if v is newer.
func (c *Cluster) installView(v *routingstate.View) {
	for {
		old := c.view.Load()
		if v.Index <= old.Index {
			return
		}
		if c.view.CompareAndSwap(old, v) {
			break
		}
	}
	var version uint64
	if v.Config != nil {
		version = v.Config.Version
	}
	c.log.Info("view in force", zap.Uint64("index", v.Index), zap.Uint64("config_version", version),
		zap.Int("evacuated_zones", len(v.Evacuated)))
	c.markViewChanged()
	c.notify()
}

// fetchViews fetches newer views from the replicas that advertised them, one after the other: requests at the same time
// would compete for the link, and a view with 1,400 routes takes a second on a slow one.
func (c *Cluster) fetchViews(ctx context.Context) {
	for {
		var link *nodelink.Link
		select {
		case link = <-c.viewFetches:
		case <-ctx.Done():
			return
		}
		if index := c.advertisedIndex(link); index <= c.View().Index && c.View().Index != 0 {
			continue // already fetched from another replica
		}
		view, err := c.fetchView(ctx, link)
		if err != nil {
			c.log.Warn("failed to fetch the view", zap.String("replica", link.Remote), zap.Error(err))
			continue
		}
		c.installView(view)
	}
}

// advertisedIndex returns the index of the newest view that was advertised on a link, or 0.
func (c *Cluster) advertisedIndex(link *nodelink.Link) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advertisedIndexes[link]
}

// fetchView returns the current view of a replica. Where the replica still has the changes since the local view, only
// these are transferred and applied.
func (c *Cluster) fetchView(ctx context.Context, link *nodelink.Link) (*routingstate.View, error) {
	own := c.View()
	request, err := encode(viewRequest{Have: own.Index, AcceptCompressed: true})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, err := link.Call(ctx, methodView, request)
	if err != nil {
		return nil, err
	}
	var reply viewReply
	if err := decode(data, &reply); err != nil {
		return nil, err
	}
	return reply.apply(own)
}
