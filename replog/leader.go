package replog

// tickLeader steps down if no majority responds, aborts a leadership transfer that takes too long, and sends
// heartbeats.
func (c *Core) tickLeader() {
	for _, p := range c.leaderState.progress {
		p.tick()
	}
	if !c.quorumActive(c.membership().Voters) {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.leaderState.transferee != 0 {
		if c.leaderState.transferElapsed++; c.leaderState.transferElapsed >= c.cfg.ElectionTicks {
			c.leaderState.transferee = 0
		}
	}
	if c.leaderState.heartbeatElapsed++; c.leaderState.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.broadcastHeartbeat()
	}
}

// quorumActive reports whether a majority of voters responded within the election timeout. At the election, all voters
// count as having responded. A partitioned leader thereby steps down instead of keeping its clients waiting.
func (c *Core) quorumActive(voters []NodeID) bool {
	return hasQuorum(voters, func(id NodeID) bool {
		p := c.leaderState.progress[id]
		return id == c.cfg.ID || p != nil && p.ticksSinceResponse < c.cfg.ElectionTicks
	})
}

// broadcastHeartbeat starts a heartbeat round. Every round has its own number, so that its acknowledgements confirm the leadership
// at the time when it was sent.
func (c *Core) broadcastHeartbeat() {
	c.leaderState.heartbeatElapsed = 0
	c.leaderState.round++
	for _, id := range c.peers() {
		// A follower must not commit entries that may differ from the leader's.
		commit := min(c.log.commit, c.leaderState.progress[id].match)
		c.send(Message{Type: MessageHeartbeat, To: id, Commit: commit, Round: c.leaderState.round})
	}
}

// Propose appends a command. The command is committed once it appears in Ready.Committed with the returned index and
// term. The caller must not modify data afterwards. Propose returns ErrNotLeader, ErrTransferring or ErrTooLarge.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	switch {
	case c.role != RoleLeader:
		return 0, 0, ErrNotLeader
	case c.leaderState.transferee != 0:
		return 0, 0, ErrTransferring
	case len(data) > c.cfg.MaxMessageBytes:
		return 0, 0, ErrTooLarge
	}
	return c.appendInTerm(EntryCommand, data), c.term, nil
}

// appendInTerm appends an entry in the leader's term. The leader counts it towards the commit index once it is durable
// locally.
func (c *Core) appendInTerm(kind EntryKind, data []byte) (index uint64) {
	index = c.log.last() + 1
	c.log.append(Entry{Index: index, Term: c.term, Kind: kind, Data: data})
	return index
}

// handleFollowerResponse processes acknowledgements of appends, snapshots and heartbeats.
func (c *Core) handleFollowerResponse(m Message) {
	p := c.leaderState.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.recordResponse()
	switch {
	case m.Type == MessageHeartbeatResponse:
		p.recordHeartbeatAck(m.Round, c.log.last())
		c.confirmReads()
	case m.Reject:
		p.recordReject(m.Index, c.log.lastWithTermAtMost(m.Hint, m.LogTerm))
	case m.Index <= c.log.last():
		p.recordAck(m.Index)
		c.advanceCommit()
		c.continueTransfer(m.From)
	}
}

// advanceCommit commits what a majority of voters holds durably. A later leader may replace an entry of an earlier term
// even if a majority holds it, so only entries of the current term are counted.
func (c *Core) advanceCommit() {
	if c.role != RoleLeader {
		return
	}
	index := quorumValue(c.membership().Voters, func(id NodeID) uint64 {
		if id == c.cfg.ID {
			return c.log.stable
		}
		return c.leaderState.progress[id].match
	})
	if term, ok := c.log.term(index); !ok || index <= c.log.commit || term != c.term {
		return
	}
	c.log.commit = index
	if !c.isVoter() && c.history.current().index <= index {
		c.stepDownAsNonVoter()
	}
}

// committedInTerm reports whether an entry of the current term is committed. Only then is the commit index known to
// cover everything that earlier leaders committed.
func (c *Core) committedInTerm() bool {
	term, ok := c.log.term(c.log.commit)
	return ok && term == c.term
}

// flushAppends sends the appends that are due. It runs when a Ready is built, so that proposals made since the previous
// Ready are batched into the same messages.
func (c *Core) flushAppends() {
	for _, id := range c.peers() {
		for p := c.leaderState.progress[id]; p.needsAppend(c.log.last(), c.log.commit); {
			c.sendAppend(id, p)
		}
	}
}

func (c *Core) appendsDue() bool {
	for _, p := range c.leaderState.progress {
		if p.needsAppend(c.log.last(), c.log.commit) {
			return true
		}
	}
	return false
}

// sendAppend sends the follower the next entries, or the snapshot if those entries are compacted.
func (c *Core) sendAppend(to NodeID, p *progress) {
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok {
		c.sendSnapshot(to, p)
		return
	}
	var entries []Entry
	if p.hasInflightCapacity() {
		entries = c.log.sliceWithinBytes(previous, c.cfg.MaxMessageBytes)
	}
	last := previous + uint64(len(entries))
	p.recordSentAppend(last, min(c.log.commit, last))
	c.send(Message{
		Type: MessageAppend, To: to, Index: previous, LogTerm: term, Entries: entries, Commit: c.log.commit,
	})
}

// sendSnapshot sends the snapshot if the replica responds. A replica that may be down receives it after its next
// response.
func (c *Core) sendSnapshot(to NodeID, p *progress) {
	if !p.responded || p.ticksSinceResponse >= c.cfg.ElectionTicks {
		p.startProbing(p.match)
		p.probeSent = true
		return
	}
	s := c.log.snapshot
	p.recordSentSnapshot(s.Index, c.cfg.ElectionTicks)
	c.send(Message{Type: MessageSnapshot, To: to, Snapshot: &s})
}
