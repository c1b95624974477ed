package replog

import "fmt"

// SnapshotAt returns a snapshot with the given state machine data, which must be the state after index was applied, and
// with the term and membership at that index. It changes no state. It returns ErrInvalidSnapshot if the index is not
// yet applied, is already compacted or, on a replica that started without Config.Bootstrap, precedes the first
// membership entry.
func (c *Core) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.log.applied || index <= c.log.snapshot.Index {
		return Snapshot{}, fmt.Errorf("%w: index %d, compacted up to %d, applied up to %d", ErrInvalidSnapshot, index,
			c.log.snapshot.Index, c.log.applied)
	}
	membership := c.history.at(index).Clone()
	if len(membership.Voters) == 0 {
		// A replica that started without Config.Bootstrap has no membership before the first membership entry.
		return Snapshot{}, fmt.Errorf("%w: membership at index %d is unknown", ErrInvalidSnapshot, index)
	}
	return Snapshot{Index: index, Term: term, Membership: membership, Data: data}, nil
}

// Compact drops the log up to snapshot.Index and keeps the snapshot in memory, to be sent to followers that need the
// dropped entries. The caller must have made the snapshot durable. Its error wraps ErrInvalidSnapshot.
func (c *Core) Compact(snapshot Snapshot) error {
	want, err := c.SnapshotAt(snapshot.Index, snapshot.Data)
	if err != nil {
		return err
	}
	if snapshot.Term != want.Term || !snapshot.Membership.equal(want.Membership) {
		return fmt.Errorf("%w: term or membership differs from the log at index %d", ErrInvalidSnapshot, snapshot.Index)
	}
	c.log.compact(want)
	c.history.compact(snapshot.Index)
	return nil
}
