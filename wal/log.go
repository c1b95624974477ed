package wal

import (
	"bytes"
	"errors"
	"fmt"
	"sync"

	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/vfs"
)

// maxRetainedBufferBytes is the largest encoding buffer that is kept for the next Save, in bytes.
const maxRetainedBufferBytes = 1 << 20

// Log is an open log directory. Its methods may be called concurrently; Save doesn't wait while SaveSnapshot writes a
// snapshot's data.
type Log struct {
	fs   vfs.FS
	dir  string
	opts Options

	snapshotMu sync.Mutex // held by SaveSnapshot as a whole; taken before mu

	mu        sync.Mutex // guards the fields below
	err       error      // set once the log is closed or failed
	file      vfs.File   // last segment
	size      int64      // of the last segment, bytes
	segments  []segment  // in use, ascending; the last one is file
	hardState replog.HardState
	tail      tail
	obsolete  []string // files to remove with the next snapshot, because removing them failed
	buf       bytes.Buffer
	stats     Stats
}

// segment is a segment file in use.
type segment struct {
	number   uint64
	maxIndex uint64 // highest index of its entries, 0 if it has none
}

// Save makes the hard state, if not nil, and the entries durable with one fsync. Entries must be contiguous; an index
// that exists already replaces that entry and all later ones. The commit index must not be after the last entry: Open
// takes such a log for one that has lost entries. When a segment is full, a new one costs two fsyncs more.
func (l *Log) Save(hs *replog.HardState, entries []replog.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := l.tail.checkOrder(entries); err != nil {
		return err
	}
	if hs != nil && hs.Commit > l.lastIndexAfter(entries) {
		return fmt.Errorf("%w: commit index %d after the end", ErrOrder, hs.Commit)
	}
	if l.size >= l.opts.SegmentBytes {
		if err := l.startSegment(l.segments[0].number); err != nil {
			return err
		}
	}
	if err := l.appendBatch(batch{HardState: hs, Entries: entries}); err != nil {
		return err
	}
	if hs != nil {
		l.hardState = *hs
	}
	l.tail.replace(stripData(entries))
	if len(entries) > 0 {
		current := &l.segments[len(l.segments)-1]
		current.maxIndex = max(current.maxIndex, l.tail.last.Index)
	}
	return nil
}

// lastIndexAfter returns the index of the last entry after a Save of entries.
func (l *Log) lastIndexAfter(entries []replog.Entry) uint64 {
	if len(entries) == 0 {
		return l.tail.last.Index
	}
	return entries[len(entries)-1].Index
}

// appendBatch writes one record to the last segment and syncs it.
func (l *Log) appendBatch(b batch) error {
	l.buf.Reset()
	if l.buf.Cap() > maxRetainedBufferBytes {
		l.buf = bytes.Buffer{}
	}
	number := l.segments[len(l.segments)-1].number
	if err := encodeRecord(&l.buf, recordBatch, b, number, l.size); err != nil {
		return err
	}
	if _, err := l.file.Write(l.buf.Bytes()); err != nil {
		return l.fail("write record", err)
	}
	if err := l.sync(l.file); err != nil {
		return l.fail("sync record", err)
	}
	l.size += int64(l.buf.Len())
	l.stats.Saves++
	l.stats.Entries += uint64(len(b.Entries))
	l.stats.Bytes += uint64(l.buf.Len())
	return nil
}

// startSegment makes a new last segment durable, whose header holds the current state. firstSegment is the oldest
// segment in use; zero means the new one.
func (l *Log) startSegment(firstSegment uint64) error {
	number := uint64(1)
	if len(l.segments) > 0 {
		number = l.segments[len(l.segments)-1].number + 1
	}
	if firstSegment == 0 {
		firstSegment = number
	}
	header := segmentHeader{
		Version: formatVersion, Segment: number, FirstSegment: firstSegment,
		Snapshot: l.tail.snapshot, Last: l.tail.last, HardState: l.hardState,
	}
	l.buf.Reset()
	if err := encodeRecord(&l.buf, recordHeader, header, number, 0); err != nil {
		return err
	}
	file, err := l.createSynced(l.segmentPath(number), l.buf.Bytes())
	if err != nil {
		return l.fail("start segment", err)
	}
	if err := l.syncDir(); err != nil {
		_ = file.Close() // the directory sync is the error to report
		return l.fail("sync directory of new segment", err)
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.fail("close segment", err)
		}
	}
	l.file, l.size = file, headerBytes
	l.segments = append(l.segments, segment{number: number})
	l.stats.Segments++
	l.stats.Bytes += headerBytes
	return nil
}

// createSynced creates a file with the given contents, syncs it and leaves it open.
func (l *Log) createSynced(path string, data []byte) (vfs.File, error) {
	file, err := l.fs.Create(path)
	if err != nil {
		return nil, err
	}
	if _, err = file.Write(data); err == nil {
		err = l.sync(file)
	}
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

func (l *Log) sync(file vfs.File) error {
	l.stats.Fsyncs++
	return file.Sync()
}

func (l *Log) syncDir() error {
	l.stats.Fsyncs++
	return l.fs.SyncDir(l.dir)
}

// fail makes the log refuse all later calls.
func (l *Log) fail(step string, err error) error {
	if l.err == nil {
		l.err = fmt.Errorf("%w: %s: %w", ErrFailed, step, err)
	}
	return l.err
}

// Close closes the files. Everything that Save and SaveSnapshot returned nil for is durable already.
func (l *Log) Close() error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(l.err, ErrClosed) {
		return nil
	}
	err := l.file.Close()
	if l.err == nil {
		l.err = ErrClosed
	}
	return err
}
