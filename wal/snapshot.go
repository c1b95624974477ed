package wal

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/vfs"
)

// SaveSnapshot makes a snapshot durable and removes the previous snapshot and the segments that hold only entries
// covered by the new one. If the log doesn't contain the snapshot's last entry, the snapshot replaces the whole log.
func (l *Log) SaveSnapshot(s replog.Snapshot) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.checkSnapshot(s); err != nil {
		return err
	}
	if err := l.writeSnapshot(s); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	return l.activateSnapshot(entryPosition{Index: s.Index, Term: s.Term})
}

func (l *Log) checkSnapshot(s replog.Snapshot) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	if s.Index <= l.tail.snapshot.Index {
		return fmt.Errorf("%w: index %d, last snapshot index %d", ErrStaleSnapshot, s.Index, l.tail.snapshot.Index)
	}
	return nil
}

// writeSnapshot writes the snapshot's file and makes it durable. It locks mu only to update the counters or to record a
// failure, so that Save is not blocked in the meantime.
func (l *Log) writeSnapshot(s replog.Snapshot) error {
	var buf bytes.Buffer
	if err := encodeRecord(&buf, recordSnapshot, s, s.Index, 0); err != nil {
		return err
	}
	path := l.snapshotPath(s.Index)
	err := l.writeTemp(path+tempSuffix, buf.Bytes())
	if err == nil {
		err = l.fs.Rename(path+tempSuffix, path)
	}
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return l.fail("write snapshot", err)
	}
	l.stats.Fsyncs += 2 // file and directory
	l.stats.Snapshots++
	l.stats.SnapshotBytes += uint64(buf.Len())
	return nil
}

// writeTemp creates, syncs and closes a file. It doesn't access the fields that mu guards.
func (l *Log) writeTemp(path string, data []byte) error {
	file, err := l.fs.Create(path)
	if err != nil {
		return err
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// activateSnapshot starts a segment whose header refers to the snapshot, and removes the files that are no longer
// needed.
func (l *Log) activateSnapshot(snapshot entryPosition) error {
	previous := l.tail.snapshot
	l.tail.compact(snapshot)
	l.hardState.Commit = max(l.hardState.Commit, snapshot.Index)
	first := len(l.segments)
	for i, s := range l.segments {
		if s.maxIndex > snapshot.Index && len(l.tail.entries) > 0 {
			first = i
			break
		}
	}
	firstSegment := uint64(0)
	if first < len(l.segments) {
		firstSegment = l.segments[first].number
	}
	if err := l.startSegment(firstSegment); err != nil {
		return err
	}
	for _, s := range l.segments[:first] {
		l.obsolete = append(l.obsolete, l.segmentPath(s.number))
	}
	if previous.Index > 0 {
		l.obsolete = append(l.obsolete, l.snapshotPath(previous.Index))
	}
	l.segments = append([]segment(nil), l.segments[first:]...)
	l.removeObsolete()
	return nil
}

// removeObsolete removes files that the last segment's header no longer refers to. A file that can't be removed is
// harmless: the next snapshot or the next Open retries.
func (l *Log) removeObsolete() {
	var remaining []string
	for _, path := range l.obsolete {
		if l.fs.Remove(path) != nil {
			remaining = append(remaining, path)
		}
	}
	l.obsolete = remaining
}

// readSnapshot reads the snapshot that a segment header refers to.
func (l *Log) readSnapshot(at entryPosition) (replog.Snapshot, error) {
	var snapshot replog.Snapshot
	path := l.snapshotPath(at.Index)
	data, err := vfs.ReadFile(l.fs, path)
	if err != nil {
		return snapshot, corruptIfMissing(err, path)
	}
	rec, ok := readRecord(data, at.Index, 0)
	if !ok || rec.kind != recordSnapshot || rec.end != len(data) {
		return snapshot, &CorruptError{File: path, Reason: "snapshot record damaged"}
	}
	if err := decoder.Unmarshal(rec.payload, &snapshot); err != nil {
		return snapshot, &CorruptError{File: path, Reason: err.Error()}
	}
	if snapshot.Index != at.Index || snapshot.Term != at.Term {
		return snapshot, &CorruptError{File: path, Reason: "index or term of the snapshot differs from the segment header"}
	}
	return snapshot, nil
}
