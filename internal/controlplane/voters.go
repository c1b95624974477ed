package controlplane

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/replog"
)

// minVoters is the number of voters below which none is demoted for a planned stop: two voters cannot lose one.
const minVoters = 3

// adjustVoters keeps the control group able to lose one more VM: voters in stopped zones become learners before the zone
// goes away, configured replicas that are missing are added, and learners that are no longer configured are removed. It
// proposes at most one change.
func (s *Server) adjustVoters(ctx context.Context) {
	view := s.views.current()
	s.cfg.Node.SetDesiredVoters(s.desiredVoters(view))
	status := s.cfg.Node.Status()
	if status.ChangePending || !status.TermCommitted {
		return
	}
	change, ok := s.nextChange(view, status.Membership)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := s.cfg.Node.ChangeMembership(ctx, change)
	s.cfg.Log.Info("membership change proposed", zap.Uint8("kind", uint8(change.Kind)), zap.Uint64("node_id", uint64(change.Node)), zap.Error(err))
}

// desiredVoters returns the configured replicas outside stopped zones, or all where too few would remain.
func (s *Server) desiredVoters(view *controlstate.View) []replog.NodeID {
	var all, desired []replog.NodeID
	for id, replica := range s.cfg.Replicas {
		all = append(all, id)
		if !view.Config.ZoneStopped(replica.Zone) {
			desired = append(desired, id)
		}
	}
	if len(desired) < minVoters {
		desired = all
	}
	slices.Sort(desired)
	return desired
}

func (s *Server) nextChange(view *controlstate.View, membership replog.Membership) (replog.MembershipChange, bool) {
	for _, id := range membership.Voters {
		if len(membership.Voters) > minVoters && view.Config.ZoneStopped(s.cfg.Replicas[id].Zone) {
			return replog.MembershipChange{Kind: replog.ChangeDemoteVoter, Node: id}, true
		}
	}
	for id := range s.cfg.Replicas {
		if !slices.Contains(membership.Voters, id) && !slices.Contains(membership.Learners, id) {
			return replog.MembershipChange{Kind: replog.ChangeAddLearner, Node: id}, true
		}
	}
	for _, id := range membership.Learners {
		if _, configured := s.cfg.Replicas[id]; !configured {
			return replog.MembershipChange{Kind: replog.ChangeRemove, Node: id}, true
		}
	}
	return replog.MembershipChange{}, false
}
