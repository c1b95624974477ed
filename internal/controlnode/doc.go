// Package controlnode runs one replica of the control group. It combines the replicated log of package replog, the durable
// log of package wal, and a state machine to which committed commands are applied.
//
// Propose returns a result only for the entry that it appended, after the entry was committed and applied on this replica.
// It returns ErrNotLeader only if the command was not appended and never will be, and ErrOutcomeUnknown if the command may
// or may not be applied. ReadBarrier returns only after a quorum has confirmed, after the call, that this replica is the
// leader, and after everything committed before the call was applied on this replica. A message is sent only after the
// state that it reflects is durable. After a failed write or fsync, the replica sends no more messages and reports the
// error through Failed.
//
// A replica has two permanent goroutines: the loop, which handles ticks, messages, proposals, fsync and sending, and the
// applier, which runs the state machine. A third runs while a snapshot is written. Only the loop calls replog. During an
// fsync, proposals and messages wait in bounded channels and share the next fsync. The log has no goroutine of its own:
// replog allows only one outstanding Ready, so nothing else could be persisted or sent during an fsync anyway.
package controlnode
