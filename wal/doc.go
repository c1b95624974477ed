// Package wal implements a write-ahead log that stores the replicated log and its snapshots in one directory.
//
// Data for which Save or SaveSnapshot returned nil is returned by every later Open, after any crash, until a later Save
// or SaveSnapshot replaces it. Open returns only data that was passed to Save or SaveSnapshot, and what it returns is
// durable. If files are damaged or missing, Open fails with a CorruptError and never falls back to an older state.
// After a failed write or fsync, the Log rejects every call, because a later fsync may succeed without having written
// the lost pages.
//
// The log is a sequence of numbered segment files. A segment starts with a header of fixed size, which identifies the
// snapshot and the segments in use. The header of the last segment is authoritative, so a snapshot takes effect when
// the segment that refers to it is durable. Each Save appends one record. Save syncs each record before the next one is
// written, so an incomplete or damaged record with no valid record after it was never acknowledged, and Open drops it.
// Two kinds of damage by the storage medium can't be distinguished from that case: damage to the last acknowledged
// record, and loss of the last segment after it was synced.
//
// Only one Log may use a directory at a time.
package wal
