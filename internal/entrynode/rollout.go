package entrynode

import (
	"context"
	"time"

	"github.com/bramleypick/bramleypick/rollout"
	"github.com/bramleypick/bramleypick/routingstate"
)

// Rollouts reports whether operators move services to new versions by rollouts.
func (n *Node) Rollouts() bool { return n.settings.Load().Rollouts }

// rolloutConfig returns the bounds of rollouts, or nil if there are none.
func (s *Settings) rolloutConfig() *rollout.Config {
	if !s.Rollouts {
		return nil
	}
	return &rollout.Config{ExposeShare: s.ExposeShare, ExposeSlack: s.ExposeSlack}
}

// shareRollout reports what the gateway has counted for the running rollouts, if there are any.
func (n *Node) shareRollout() {
	if report := n.gateway.RolloutReport(time.Now()); report != nil {
		n.cluster.ShareRollout(*report)
	}
}

// ReadRollout returns the last rollout of a service; see cluster.Cluster.ReadRollout.
func (n *Node) ReadRollout(ctx context.Context, service string) (routingstate.Rollout, bool, error) {
	return n.cluster.ReadRollout(ctx, service)
}
