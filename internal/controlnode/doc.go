// Package controlnode runs one replica of the control group: the replicated log of package replog on the durable log of
// package wal, and a state machine to which committed commands are applied.
//
// Guarantee: Propose returns a result only for the entry that it appended, after the entry was committed and applied
// here. It returns ErrNotLeader only if the command was not appended and never will be, and ErrOutcomeUnknown if it may
// or may not be applied. ReadBarrier returns only after a quorum confirmed the leadership of this replica following the
// call, and after everything committed before the call was applied here. A message leaves the replica only after the
// state that it speaks for is durable. After a failed write or fsync the replica sends nothing more and reports the
// error by Failed.
//
// Three goroutines share the work: the loop (ticks, messages, proposals, fsync, sending), the applier (the state machine),
// and while a snapshot is written, one that writes it. Only the loop calls replog. While an fsync runs, proposals and
// messages wait in bounded channels and share the next one. There is no separate goroutine for the log, since replog
// allows one outstanding Ready, so nothing else could be persisted or sent during an fsync.
package controlnode
