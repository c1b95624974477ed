package replog

// pendingRead is the result of a ReadIndex call that waits until a quorum acknowledges its heartbeat round.
type pendingRead struct {
	state ReadState
	round uint64
}

// ReadIndex requests an index that covers everything committed so far. The result appears in Ready.ReadStates with the
// token once a quorum has acknowledged a heartbeat sent after the call. The heartbeat is delayed until an entry of the
// current term is committed. The token is dropped if the replica stops being leader. ReadIndex returns ErrNotLeader on
// any other replica.
func (c *Core) ReadIndex(token uint64) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	c.leaderState.queuedReads = append(c.leaderState.queuedReads, token)
	return nil
}

func (c *Core) readsDue() bool { return len(c.leaderState.queuedReads) > 0 && c.committedInTerm() }

// flushReads sends one heartbeat round for all ReadIndex calls since the previous Ready.
func (c *Core) flushReads() {
	if !c.readsDue() {
		return
	}
	c.broadcastHeartbeat()
	for _, token := range c.leaderState.queuedReads {
		read := pendingRead{state: ReadState{Token: token, Index: c.log.commit}, round: c.leaderState.round}
		c.leaderState.pendingReads = append(c.leaderState.pendingReads, read)
	}
	c.leaderState.queuedReads = nil
	c.confirmReads()
}

// confirmReads completes the reads whose round a quorum has acknowledged. The acknowledgements show that no other
// replica was leader of a newer term when the round was sent, so the commit index recorded at that time was current.
func (c *Core) confirmReads() {
	if c.role != RoleLeader {
		return
	}
	round := c.confirmedRound()
	for len(c.leaderState.pendingReads) > 0 && c.leaderState.pendingReads[0].round <= round {
		c.readStates = append(c.readStates, c.leaderState.pendingReads[0].state)
		c.leaderState.pendingReads = c.leaderState.pendingReads[1:]
	}
}

// confirmedRound returns the latest heartbeat round that a quorum has acknowledged, or zero. Followers that acknowledged it grant
// no vote, other than for a leadership transfer, until the shortest election timeout after they received it.
func (c *Core) confirmedRound() uint64 {
	return quorumValue(c.membership().Voters, func(id NodeID) uint64 {
		if id == c.cfg.ID {
			return c.leaderState.round
		}
		return c.leaderState.progress[id].ackedRound
	})
}
