// Package wal stores the replicated log and its snapshots in one directory.
//
// Guarantee: what Save or SaveSnapshot returned nil for is returned by every later Open, after any crash, until a later
// Save or SaveSnapshot replaces it. Open returns nothing that was not passed to Save or SaveSnapshot, and what it
// returns is durable. Damaged or missing files make Open fail with a CorruptError; it never continues with older state
// instead. After a failed write or fsync the Log refuses every call, because a later fsync may succeed without having
// written the lost pages.
//
// The log is a sequence of numbered segment files. A segment starts with a header of fixed size, which names the
// snapshot and the segments in use; the header of the last segment is authoritative, so a snapshot takes effect when
// the segment that names it is durable. Each Save appends one record. A record that is incomplete or damaged and has no
// valid record after it was never acknowledged, because Save syncs each record before the next is written; Open drops
// it. Damage by the medium to the very last acknowledged record, or loss of the last segment after it was synced, can't
// be told from that case.
//
// Only one Log may use a directory at a time.
package wal
