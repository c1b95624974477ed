package wal

// Stats counts the work of a Log since Open. Entries/Saves is the number of entries that shared one fsync.
type Stats struct {
	Fsyncs        uint64 // of files and directories
	Saves         uint64 // that wrote a record, with one fsync each
	Entries       uint64
	Bytes         uint64 // written to segments
	Segments      uint64 // created
	Snapshots     uint64
	SnapshotBytes uint64
}

// Stats returns the counts.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}
