package controlnode

import (
	"slices"

	"github.com/bramleypick/bramleypick/replog"
)

// voterPolicy selects the automatic membership changes that the leader proposes. Demoting an unreachable voter reduces the
// majority, so that the group tolerates the loss of another replica.
type voterPolicy struct {
	demoteTicks int // 0 disables demotion
	desired     []replog.NodeID
}

// nextChange returns the change to propose now, if any.
func (p voterPolicy) nextChange(s replog.Status) (replog.MembershipChange, bool) {
	if s.Role != replog.RoleLeader || s.ChangePending || !s.TermCommitted || s.Transferee != 0 {
		return replog.MembershipChange{}, false
	}
	if id, ok := p.voterToDemote(s); ok {
		return replog.MembershipChange{Kind: replog.ChangeDemoteVoter, Node: id}, true
	}
	if id, ok := p.learnerToPromote(s); ok {
		return replog.MembershipChange{Kind: replog.ChangePromoteLearner, Node: id}, true
	}
	return replog.MembershipChange{}, false
}

// voterToDemote returns the unreachable voter whose last response is the oldest, provided that the response is at least
// demoteTicks old, a majority of the current voters is reachable, and enough voters remain.
func (p voterPolicy) voterToDemote(s replog.Status) (replog.NodeID, bool) {
	voters := s.Membership.Voters
	if p.demoteTicks == 0 || len(voters) <= minVoters {
		return 0, false
	}
	reachable, unresponsive := 0, replog.NodeID(0)
	for _, id := range voters {
		if id == s.ID || s.Progress[id].Reachable {
			reachable++
			continue
		}
		if unresponsive == 0 || s.Progress[id].TicksSinceResponse > s.Progress[unresponsive].TicksSinceResponse {
			unresponsive = id
		}
	}
	ok := unresponsive != 0 && s.Progress[unresponsive].TicksSinceResponse >= p.demoteTicks && reachable > len(voters)/2
	return unresponsive, ok
}

// learnerToPromote returns a learner that is a desired voter, is reachable and has all committed entries.
func (p voterPolicy) learnerToPromote(s replog.Status) (replog.NodeID, bool) {
	for _, id := range s.Membership.Learners {
		progress := s.Progress[id]
		if slices.Contains(p.desired, id) && progress.Reachable && progress.Match >= s.Commit {
			return id, true
		}
	}
	return 0, false
}
