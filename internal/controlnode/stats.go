package controlnode

import (
	"sync/atomic"

	"github.com/bramleypick/bramleypick/wal"
)

// Stats counts the work of a Node since Start.
type Stats struct {
	Log               wal.Stats // fsyncs, entries and bytes
	Proposals         uint64    // appended here as leader
	Applied           uint64    // entries applied
	ReadConfirmations uint64    // leadership confirmations started for barriers
	Snapshots         uint64    // taken here and made durable
	SnapshotErrors    uint64    // of StateMachine.Snapshot
	VoterChanges      uint64    // automatic demotions and promotions proposed
	DroppedMessages   uint64    // received while the inbox was full
	InvalidMessages   uint64
}

type counters struct {
	proposals, applied, readConfirmations, snapshots, snapshotErrors, voterChanges, droppedMessages, invalidMessages atomic.Uint64
}

// Stats returns the counts.
func (n *Node) Stats() Stats {
	c := &n.counters
	return Stats{
		Log: n.log.Stats(), Proposals: c.proposals.Load(), Applied: c.applied.Load(),
		ReadConfirmations: c.readConfirmations.Load(), Snapshots: c.snapshots.Load(), SnapshotErrors: c.snapshotErrors.Load(),
		VoterChanges: c.voterChanges.Load(), DroppedMessages: c.droppedMessages.Load(),
		InvalidMessages: c.invalidMessages.Load(),
	}
}
