package replog

// Ready is work for the caller; the package comment gives the order.
type Ready struct {
	// HardState is set if it must be made durable. A commit index alone is not worth a sync; it is written together with
	// the next entries, vote or term.
	HardState *HardState
	// Entries are to be made durable. They replace stored entries with the same or a higher index.
	Entries []Entry
	// Snapshot is set if the leader sent one. It replaces the state of the state machine.
	Snapshot *Snapshot
	// Messages are to be sent after HardState, Entries and Snapshot are durable. Any of them may be lost.
	Messages []Message
	// Committed are the next entries to apply, after Snapshot if it is set. Entries of all kinds are included.
	Committed []Entry
	// ReadStates answer calls of ReadIndex.
	ReadStates []ReadState
}

// HasReady tells whether Ready has work.
func (c *Core) HasReady() bool {
	return len(c.messages) > 0 || len(c.readStates) > 0 || c.log.snapshotPending || c.log.stable < c.log.last() ||
		c.log.commit > c.applyBase() || c.hardStateDue() || c.appendsDue() || c.readsDue()
}

// Ready returns the work that has accumulated. It must be followed by Advance before the next call. Other calls are
// allowed in between. The caller must not change what it returns.
func (c *Core) Ready() Ready {
	if c.role == RoleLeader {
		c.flushAppends()
		c.flushReads()
	}
	r := Ready{
		Messages:   c.messages,
		ReadStates: c.readStates,
		Entries:    c.log.slice(c.log.stable, c.log.last()),
		Committed:  c.log.slice(c.applyBase(), c.log.commit),
	}
	c.messages, c.readStates = nil, nil
	if c.log.snapshotPending {
		s := c.log.snapshot
		r.Snapshot = &s
	}
	if hs := c.hardState(); c.hardStateDue() || hs != c.persisted && (len(r.Entries) > 0 || r.Snapshot != nil) {
		r.HardState = &hs
	}
	return r
}

// Advance tells that the work of the last Ready is done: persisted, sent and applied.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.persisted = *r.HardState
	}
	if s := r.Snapshot; s != nil {
		if s.Index == c.log.snapshot.Index {
			c.log.snapshotPending = false
		}
		c.log.applied = max(c.log.applied, s.Index)
	}
	if n := len(r.Entries); n > 0 {
		c.log.markStable(r.Entries[n-1].Index, r.Entries[n-1].Term)
	}
	if n := len(r.Committed); n > 0 {
		c.log.applied = max(c.log.applied, r.Committed[n-1].Index)
	}
	c.advanceCommit()
}

// applyBase is the index after which entries are to be applied: a pending snapshot is applied first.
func (c *Core) applyBase() uint64 { return max(c.log.applied, c.log.snapshot.Index) }

// hardState is the state to persist. Its commit index covers only what is durable already, or with the snapshot written
// before it, so that a crash in the middle of a write never leaves it after the end of the stored log.
func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: min(c.log.commit, c.log.stable), Joining: c.joining}
}

func (c *Core) hardStateDue() bool {
	return c.term != c.persisted.Term || c.vote != c.persisted.Vote || c.joining && !c.persisted.Joining
}
