package cluster

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/nodelink"
)

// dialReplicas starts a reconnect loop for each known replica and each seed. Once a replica is known, it stops the
// loops of other addresses that have no open link.
func (c *Cluster) dialReplicas(ctx context.Context) {
	wanted := c.cfg.Seeds()
	replicaKnown := false
	for _, n := range c.nodes.Alive() {
		if n.ReplicaID != 0 {
			wanted = append(wanted, n.PeerAddress)
			replicaKnown = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range wanted {
		if address == c.cfg.Self.PeerAddress || c.dialers[address] != nil {
			continue
		}
		dialCtx, cancel := context.WithCancel(ctx)
		c.dialers[address] = cancel
		go nodelink.KeepConnected(dialCtx, address, (*handler)(c), func(err error) {
			c.log.Debug("failed to dial the replica", zap.String("replica", address), zap.Error(err))
		})
	}
	if !replicaKnown {
		return
	}
	for address, cancel := range c.dialers {
		// Otherwise replaced seeds and removed replicas would be dialed forever.
		if !slices.Contains(wanted, address) && c.dialed[address] == nil {
			cancel()
			delete(c.dialers, address)
		}
	}
}

// links returns the open links to replicas, those in this process's availability zone first.
func (c *Cluster) links() []*nodelink.Link {
	zones := make(map[string]string)
	for _, n := range c.nodes.Alive() {
		if n.ReplicaID != 0 {
			zones[n.PeerAddress] = n.Zone
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	links := make([]*nodelink.Link, 0, len(c.dialed))
	for address, l := range c.dialed {
		if _, isReplica := zones[address]; isReplica {
			links = append(links, l)
		}
	}
	slices.SortFunc(links, func(a, b *nodelink.Link) int {
		rank := func(l *nodelink.Link) int {
			if zones[l.Remote] == c.cfg.Self.Zone {
				return 0
			}
			return 1
		}
		return rank(a) - rank(b)
	})
	return links
}
