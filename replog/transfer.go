package replog

import "fmt"

// TransferLeadership hands leadership to another voter once it holds the whole log. Proposals are refused meanwhile, for
// at most ElectionTicks. Success shows as a change of Status().Leader. It returns ErrNotLeader, ErrTransferring or
// ErrInvalidTarget.
func (c *Core) TransferLeadership(to NodeID) error {
	switch {
	case c.role != RoleLeader:
		return ErrNotLeader
	case c.leaderState.transferee != 0:
		return ErrTransferring
	case to == c.cfg.ID || !c.membership().IsVoter(to):
		return fmt.Errorf("%w: %d", ErrInvalidTarget, to)
	}
	c.leaderState.transferee, c.leaderState.transferElapsed = to, 0
	c.continueTransfer(to)
	return nil
}

// continueTransfer asks the target to start an election if it has caught up.
func (c *Core) continueTransfer(id NodeID) {
	if id == c.leaderState.transferee && id != 0 && c.leaderState.progress[id].match == c.log.last() {
		c.send(Message{Type: MessageTimeoutNow, To: id})
	}
}

func (c *Core) handleTimeoutNow() {
	if c.role == RoleFollower && c.isVoter() {
		c.startElection(false, true)
	}
}

// stepDownAsNonVoter ends the leadership of a leader that is no longer a voter. The followers learn the commit index, and the one
// with the longest log starts an election without waiting for the timeout.
func (c *Core) stepDownAsNonVoter() {
	c.flushAppends()
	var successor NodeID
	for _, id := range c.membership().Voters {
		if successor == 0 || c.leaderState.progress[id].match > c.leaderState.progress[successor].match {
			successor = id
		}
	}
	c.send(Message{Type: MessageTimeoutNow, To: successor})
	c.becomeFollower(c.term, 0)
}
