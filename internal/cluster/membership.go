package cluster

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/controlnode"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/roster"
)

const (
	// membershipChangeTimeout bounds one membership change of the control group.
	membershipChangeTimeout = time.Second
	// demoteAfter is the time without a response after which a voter is demoted. The group must tolerate the next loss
	// soon after a replica was replaced: the platform grants a replacement 4 s to catch up, and an election may take
	// more than 1 s of that.
	demoteAfter = 2500 * time.Millisecond
)

// manageMembership keeps the membership of the group equal to the set of live replicas while this replica is the
// leader. It returns when ctx ends or the node stops.
func (c *Cluster) manageMembership(ctx context.Context, node *controlnode.Node) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var leader replog.NodeID
	for {
		s := node.Status()
		if len(s.Membership.Voters) > 0 {
			c.mu.Lock()
			c.bootstrapped = true
			c.mu.Unlock()
		}
		if s.Leader != leader {
			c.log.Info("leader of the control group changed", zap.Uint64("leader", uint64(s.Leader)), zap.Uint64("term", s.Term))
			leader = s.Leader
		}
		if s.Role == replog.RoleLeader {
			if r := c.runningReplica(); r != nil {
				c.prepareTokens(r)
			}
			c.reconcileMembership(ctx, node, s)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		case <-node.Stopped():
			return
		}
	}
}

func (c *Cluster) reconcileMembership(ctx context.Context, node *controlnode.Node, s replog.Status) {
	alive := c.aliveReplicas()
	node.SetDesiredVoters(alive)
	change, ok := nextMembershipChange(s, alive)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	err := node.ChangeMembership(ctx, change)
	c.log.Info("membership change of the control group", zap.Uint8("kind", uint8(change.Kind)),
		zap.Uint64("replica", uint64(change.Node)), zap.Error(err))
}

func (c *Cluster) aliveReplicas() []replog.NodeID {
	var ids []replog.NodeID
	for _, n := range c.nodes.Alive() {
		if n.ReplicaID != 0 && n.State != roster.Leaving {
			ids = append(ids, replog.NodeID(n.ReplicaID))
		}
	}
	return ids
}

// nextMembershipChange returns the next membership change for the leader to make, if there is one. New replicas join as
// learners; controlnode promotes them to voters once they have caught up, and demotes voters that have not responded
// for demoteAfter as long as three voters remain.
func nextMembershipChange(s replog.Status, alive []replog.NodeID) (replog.MembershipChange, bool) {
	if s.ChangePending || !s.TermCommitted {
		return replog.MembershipChange{}, false
	}
	for _, id := range alive {
		if !s.Membership.Contains(id) {
			return replog.MembershipChange{Kind: replog.ChangeAddLearner, Node: id}, true
		}
	}
	for _, id := range s.Membership.Learners {
		if !slices.Contains(alive, id) {
			return replog.MembershipChange{Kind: replog.ChangeRemove, Node: id}, true
		}
	}
	return replog.MembershipChange{}, false
}
