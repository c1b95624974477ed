package replog

import "fmt"

// handleAppend appends the leader's entries if the log matches at the index before them, and replaces conflicting
// entries.
func (c *Core) handleAppend(m Message) error {
	if m.Index < c.log.commit {
		// The message was delayed or duplicated. Everything committed matches the leader's log.
		for _, e := range m.Entries {
			if e.Index <= c.log.commit && e.Index > c.log.snapshot.Index && !c.log.matches(e.Index, e.Term) {
				return fmt.Errorf("%w: append from replica %d conflicts with committed entry %d", ErrCorrupt, m.From, e.Index)
			}
		}
		c.acknowledge(m.From, c.log.commit)
		return nil
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint := c.log.lastWithTermAtMost(m.Index, m.LogTerm)
		hintTerm, _ := c.log.term(hint)
		c.send(Message{
			Type: MessageAppendResponse, To: m.From, Reject: true, Index: m.Index, Hint: hint, LogTerm: hintTerm,
		})
		return nil
	}
	position, conflict := c.log.firstMissing(m.Entries)
	missing := m.Entries[position:]
	if conflict {
		c.log.truncate(missing[0].Index)
		c.history.truncate(missing[0].Index)
	}
	c.log.append(missing...)
	if err := c.history.add(missing); err != nil {
		return err
	}
	last := m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	c.acknowledge(m.From, last)
	return nil
}

// acknowledge responds to the leader that the log matches up to index. The response is sent only after the entries are
// durable, because the Ready that contains it also contains all entries that are not yet durable.
func (c *Core) acknowledge(leader NodeID, index uint64) {
	c.send(Message{Type: MessageAppendResponse, To: leader, Index: index})
}

func (c *Core) handleHeartbeat(m Message) {
	c.log.commit = max(c.log.commit, min(m.Commit, c.log.last()))
	c.send(Message{Type: MessageHeartbeatResponse, To: m.From, Round: m.Round})
}

// handleSnapshot replaces the log with the leader's snapshot unless the log already holds the entries that it covers.
func (c *Core) handleSnapshot(m Message) {
	s := *m.Snapshot
	switch {
	case s.Index <= c.log.commit:
		c.acknowledge(m.From, c.log.commit)
		return
	case c.log.matches(s.Index, s.Term):
		c.log.commit = s.Index
	default:
		c.log.restore(s)
		c.history = membershipHistory{{index: s.Index, membership: s.Membership.Clone()}}
	}
	c.acknowledge(m.From, s.Index)
}
