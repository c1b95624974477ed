package controlplane

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/replog"
)

// minVoters is the number of voters that a planned stop leaves in place: a group of two voters has no quorum after losing one.
const minVoters = 3

// adjustVoters proposes at most one membership change, so that the control group tolerates the loss of one more VM. Voters
// in stopped zones are demoted to learners before the zone shuts down, configured replicas outside the membership are added
// as learners, and learners that are no longer configured are removed.
func (s *Server) adjustVoters(ctx context.Context) {
	view := s.views.current()
	status := s.cfg.Node.Status()
	if status.ChangePending || !status.TermCommitted {
		return
	}
	change, ok := s.nextMembershipChange(s.desiredVoters(view), status)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := s.cfg.Node.ChangeMembership(ctx, change)
	s.cfg.Log.Info("membership change proposed", zap.Uint8("kind", uint8(change.Kind)), zap.Uint64("node_id", uint64(change.Node)), zap.Error(err))
}

// desiredVoters returns the configured replicas outside stopped zones. If these are fewer than minVoters, replicas in
// stopped zones are added in the order of their ids. The set depends on the configuration only, so that a replica is not
// repeatedly demoted and promoted.
func (s *Server) desiredVoters(view *controlstate.View) []replog.NodeID {
	var desired, stopped []replog.NodeID
	for id, replica := range s.cfg.Replicas {
		if view.Config.ZoneStopped(replica.Zone) {
			stopped = append(stopped, id)
		} else {
			desired = append(desired, id)
		}
	}
	slices.Sort(stopped)
	missing := min(len(stopped), max(0, minVoters-len(desired)))
	desired = append(desired, stopped[:missing]...)
	slices.Sort(desired)
	return desired
}

// nextMembershipChange returns the next membership change to propose, if any.
func (s *Server) nextMembershipChange(desired []replog.NodeID, status replog.Status) (replog.MembershipChange, bool) {
	membership := status.Membership
	if id, ok := s.voterToDemote(desired, status); ok {
		return replog.MembershipChange{Kind: replog.ChangeDemoteVoter, Node: id}, true
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

// voterToDemote returns a configured voter that is not desired. It returns this replica only if there is no other, because
// a leader that demotes itself steps down.
func (s *Server) voterToDemote(desired []replog.NodeID, status replog.Status) (id replog.NodeID, ok bool) {
	if len(status.Membership.Voters) <= minVoters {
		return 0, false
	}
	for _, voter := range status.Membership.Voters {
		if _, configured := s.cfg.Replicas[voter]; !configured || slices.Contains(desired, voter) {
			continue
		}
		if voter != status.ID {
			return voter, true
		}
		id, ok = voter, true
	}
	return id, ok
}
