// Package replog implements the Raft replicated log as a deterministic state machine. It uses no clock, disk, socket,
// goroutine or global randomness: Tick advances time, the inputs are Step, Propose, ProposeMembership, ReadIndex and
// TransferLeadership, and the output is Ready. The same inputs give the same outputs. A Core is not safe for concurrent
// use.
//
// # Guarantee
//
// As long as no replica loses or alters what the caller reported as persisted with Advance, all replicas apply the same
// entries in the same order, and an entry that one replica applied is never lost or changed. A term has at most one
// leader. A ReadState is returned only by a replica that was leader at some time after the call of ReadIndex, and its
// Index covers every entry committed before the call. Messages may be lost, delayed, duplicated, reordered or delivered
// in one direction only, but they must not be altered. Progress requires a majority of voters that can reach each
// other.
//
// # Requirements on the caller
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
// A replica whose storage failed must stop without sending. A replica that lost its storage must restart under a new
// NodeID with an empty Config.Bootstrap and be added as a learner, because the vote and the acknowledgements of the old
// id are lost. RestoredState must hold what step 1 made durable, without an incomplete tail that was never reported as
// persisted.
//
// A proposal is decided when an entry with the returned index and term, or another entry with that index, appears in
// Committed, or when a Snapshot covers the index. If the replica stops being leader in that term, the outcome of its
// undecided proposals is unknown and its pending ReadIndex tokens are dropped. The caller detects this from Status.
package replog
