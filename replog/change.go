package replog

import (
	"fmt"
	"slices"
)

// ChangeKind tells what a membership change does.
type ChangeKind uint8

// Kinds of membership changes.
const (
	ChangeAddLearner     ChangeKind = 1 // Adds a new replica as a learner.
	ChangePromoteLearner ChangeKind = 2 // Makes a learner that holds everything committed a voter.
	ChangeDemoteVoter    ChangeKind = 3 // Makes a voter a learner.
	ChangeRemove         ChangeKind = 4 // Removes a voter or a learner.
)

// MembershipChange changes one replica. Majorities before and after a change of one voter overlap, so no joint
// membership is needed.
type MembershipChange struct {
	Kind ChangeKind `cbor:"1,keyasint"`
	Node NodeID     `cbor:"2,keyasint"`
}

// ProposeMembership appends a membership change, which is in force at once and is undone if its entry is replaced. A
// leader that demotes or removes itself steps down when the change is committed. It returns ErrNotLeader,
// ErrTransferring, ErrChangePending, ErrTermNotCommitted, ErrInvalidChange, ErrLearnerBehind or ErrNoReachableMajority.
func (c *Core) ProposeMembership(change MembershipChange) (index, term uint64, err error) {
	switch {
	case c.role != RoleLeader:
		return 0, 0, ErrNotLeader
	case c.leaderState.transferee != 0:
		return 0, 0, ErrTransferring
	case c.history.current().index > c.log.commit:
		return 0, 0, ErrChangePending
	case !c.committedInTerm():
		// A change of an earlier term may be uncommitted elsewhere, and a second one from the same base could form a
		// majority that does not overlap with it.
		return 0, 0, ErrTermNotCommitted
	}
	next, err := change.apply(c.membership())
	if err != nil {
		return 0, 0, err
	}
	if change.Kind == ChangePromoteLearner && c.leaderState.progress[change.Node].match < c.log.commit {
		return 0, 0, ErrLearnerBehind
	}
	if !hasQuorum(next.Voters, c.reachable) {
		return 0, 0, ErrNoReachableMajority
	}
	index = c.appendInTerm(EntryMembership, encodeMembership(next))
	c.history = append(c.history, indexedMembership{index: index, membership: next})
	c.updatePeers()
	return index, c.term, nil
}

// reachable tells whether a replica responded in this term and within the election timeout. Unlike hasContact it does
// not count replicas that have not responded since the election.
func (c *Core) reachable(id NodeID) bool {
	if id == c.cfg.ID {
		return true
	}
	p := c.leaderState.progress[id]
	return p != nil && p.responded && p.ticksSinceResponse < c.cfg.ElectionTicks
}

// updatePeers adjusts the progress to the membership. A smaller majority may already have acknowledged entries or reads.
func (c *Core) updatePeers() {
	peers := c.peers()
	for _, id := range peers {
		if c.leaderState.progress[id] == nil {
			c.leaderState.progress[id] = newProgress(c.log.last())
		}
	}
	for id := range c.leaderState.progress {
		if !slices.Contains(peers, id) {
			delete(c.leaderState.progress, id)
		}
	}
	c.advanceCommit()
	c.confirmReads()
}

// apply returns the membership after the change, or ErrInvalidChange.
func (change MembershipChange) apply(m Membership) (Membership, error) {
	next, id := m.Clone(), change.Node
	valid := id != 0
	switch change.Kind {
	case ChangeAddLearner:
		valid = valid && !m.Contains(id)
		next.Learners = append(next.Learners, id)
	case ChangePromoteLearner:
		valid = valid && m.IsLearner(id)
		next.Learners = without(next.Learners, id)
		next.Voters = append(next.Voters, id)
	case ChangeDemoteVoter:
		valid = valid && m.IsVoter(id)
		next.Voters = without(next.Voters, id)
		next.Learners = append(next.Learners, id)
	case ChangeRemove:
		valid = valid && m.Contains(id)
		next.Voters, next.Learners = without(next.Voters, id), without(next.Learners, id)
	default:
		valid = false
	}
	if !valid || next.validate() != nil {
		return Membership{}, fmt.Errorf("%w: kind %d of replica %d", ErrInvalidChange, change.Kind, id)
	}
	slices.Sort(next.Voters)
	slices.Sort(next.Learners)
	return next, nil
}

func without(ids []NodeID, id NodeID) []NodeID {
	return slices.DeleteFunc(ids, func(other NodeID) bool { return other == id })
}
