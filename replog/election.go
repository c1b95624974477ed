package replog

// becomeFollower makes the replica a follower in the given term, which may be the current one. The leader is zero if
// unknown.
func (c *Core) becomeFollower(term uint64, leader NodeID) {
	if term != c.term {
		c.term, c.vote = term, 0
	}
	c.role, c.leader = RoleFollower, leader
	c.resetRole()
}

// resetRole discards the state of the previous role and draws a new election timeout.
func (c *Core) resetRole() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand(c.cfg.ElectionTicks)
	c.votes = nil
	c.leaderState = leaderState{}
}

// followLeader follows the sender of a message that only the leader of the current term sends.
func (c *Core) followLeader(id NodeID) {
	if c.role != RoleFollower || c.leader != id {
		c.becomeFollower(c.term, id)
	}
	c.electionElapsed = 0
}

// hasRecentLeader reports whether a message from a leader arrived within the shortest election timeout. On the leader
// itself it is true, because a leader that has lost its quorum steps down within that time.
func (c *Core) hasRecentLeader() bool {
	return c.role == RoleLeader || c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

// startElection requests votes. A pre-vote first checks whether the election can succeed, so that a partitioned replica
// does not raise the term. A leadership transfer skips the pre-vote.
func (c *Core) startElection(preVote, transfer bool) {
	if !c.canLead() {
		c.electionElapsed = 0
		c.leader = 0
		return
	}
	c.leader = 0
	c.resetRole()
	c.votes = map[NodeID]bool{c.cfg.ID: true}
	request := Message{Type: MessagePreVote, Term: c.term + 1, Index: c.log.last(), LogTerm: c.log.lastTerm()}
	c.role = RolePreCandidate
	if !preVote {
		c.role = RoleCandidate
		c.term, c.vote = c.term+1, c.cfg.ID
		request.Type, request.Transfer = MessageVote, transfer
	}
	for _, id := range c.membership().Voters {
		if id != c.cfg.ID {
			request.To = id
			c.send(request)
		}
	}
	c.countVotes()
}

// canLead reports whether the replica is a voter, or was one before a membership change that is not known to be
// committed. In the second case, other replicas may need this replica's vote for a majority of the previous voters, and
// it refuses the vote if its log is more up to date than theirs. The group could then elect no leader, so this replica
// may lead until the change is committed. Its own vote does not count, because the change is already in effect in its
// log.
func (c *Core) canLead() bool {
	if c.joining {
		return false
	}
	current := c.history.current()
	return c.isVoter() || current.index > c.log.commit && c.history.at(current.index-1).IsVoter(c.cfg.ID)
}

// countVotes moves on from the pre-vote to the election, or from the election to leadership, once a majority of voters
// has granted its votes.
func (c *Core) countVotes() {
	if !hasQuorum(c.membership().Voters, func(id NodeID) bool { return c.votes[id] }) {
		return
	}
	if c.role == RolePreCandidate {
		c.startElection(false, false)
		return
	}
	c.becomeLeader()
}

// becomeLeader makes the replica the leader of the current term. It appends a no-op entry, because entries of earlier
// terms are committed only together with an entry of the current term.
func (c *Core) becomeLeader() {
	c.role, c.leader = RoleLeader, c.cfg.ID
	c.resetRole()
	c.leaderState.progress = map[NodeID]*progress{}
	for _, id := range c.peers() {
		c.leaderState.progress[id] = newProgress(c.log.last())
	}
	c.appendInTerm(EntryNoop, nil)
}

// handlePreVote responds whether a vote would be granted and changes no state. If there is a recent leader, adoptTerm
// has already ignored the message.
func (c *Core) handlePreVote(m Message) {
	if m.Term > c.term && !c.joining && c.log.upToDate(m.Index, m.LogTerm) {
		c.send(Message{Type: MessagePreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	c.send(Message{Type: MessagePreVoteResponse, To: m.From, Reject: true})
}

// handleVote grants at most one vote per term, and only to a candidate whose log is at least as up to date as this one.
func (c *Core) handleVote(m Message) {
	canVote := !c.joining && (c.vote == m.From || c.vote == 0 && c.leader == 0)
	if !canVote || !c.log.upToDate(m.Index, m.LogTerm) {
		c.send(Message{Type: MessageVoteResponse, To: m.From, Reject: true})
		return
	}
	c.vote = m.From
	c.electionElapsed = 0
	c.send(Message{Type: MessageVoteResponse, To: m.From})
}

func (c *Core) handleVoteResponse(m Message) {
	preVote := m.Type == MessagePreVoteResponse
	switch {
	case m.Reject:
	case preVote && c.role == RolePreCandidate && m.Term == c.term+1:
		c.votes[m.From] = true
		c.countVotes()
	case !preVote && c.role == RoleCandidate:
		c.votes[m.From] = true
		c.countVotes()
	}
}
