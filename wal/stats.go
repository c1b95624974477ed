package wal

// Stats counts the operations of a Log since Open. Entries/Saves is the mean number of entries per fsync.
type Stats struct {
	Fsyncs        uint64 // fsyncs of files and directories
	Saves         uint64 // calls of Save that wrote a record, with one fsync each
	Entries       uint64
	Bytes         uint64 // bytes written to segments
	Segments      uint64 // segments created
	Snapshots     uint64
	SnapshotBytes uint64
}

// Stats returns the counters.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}
