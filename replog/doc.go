// Package replog is a replicated log (Raft) as a pure state machine. It has no clock, disk, socket, goroutine or global
// randomness: time is Tick, input is Step, Propose, ProposeMembership, ReadIndex and TransferLeadership, and output is
// Ready. Equal inputs give equal outputs. A Core is not safe for concurrent use.
//
// # Guarantee
//
// As long as no replica loses or alters what the caller reported as persisted with Advance, all replicas apply the same
// entries in the same order, and an entry that one replica applied is never lost or changed. A term has at most one
// leader. A ReadState is returned only by a replica that was leader at some moment after the call of ReadIndex, and its
// Index covers every entry committed before the call. Messages may be lost, delayed, duplicated, reordered or delivered
// in one direction only; they must not be altered. Progress needs a majority of voters that reach each other.
//
// # Duties of the caller
//
// For every Ready, in this order:
//
//  1. Make durable, in this order, Snapshot, HardState and Entries. Entries replace stored entries with the same or a
//     higher index. A Snapshot replaces the stored log up to Snapshot.Index, and the whole log unless the stored entry at
//     that index has the term Snapshot.Term.
//  2. Send Messages. Sending before step 1 is complete breaks the guarantee.
//  3. Restore the state machine from Snapshot if it is set, then apply Committed in order.
//  4. Call Advance with the same Ready before the next call of Ready.
//
// A replica whose storage failed must stop without sending. A replica that lost its storage must return under a new
// NodeID with an empty Config.Bootstrap and be added as a learner: the old id's vote and acknowledgements are gone.
// Restored.Entries and Snapshot must be those of step 1, after removal of an incomplete tail that was never reported
// durable.
//
// A proposal is decided when an entry with the returned index and term, or another entry with that index, appears in
// Committed, or a Snapshot covers the index. If the replica stops being leader in that term, its undecided proposals
// have an unknown outcome and its unanswered ReadIndex tokens are dropped; the caller sees this in Status.
package replog
