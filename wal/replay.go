package wal

import (
	"errors"
	"fmt"

	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/vfs"
)

// errTornHeader is wrapped by the error for a segment whose header may not have been synced.
var errTornHeader = errors.New("segment header incomplete")

// segmentFile is a segment read into memory.
type segmentFile struct {
	number uint64
	path   string
	data   []byte
	header segmentHeader
}

// readSegment reads a segment into memory and decodes its header.
func (l *Log) readSegment(number uint64) (*segmentFile, error) {
	s := &segmentFile{number: number, path: l.segmentPath(number)}
	var err error
	if s.data, err = vfs.ReadFile(l.fs, s.path); err != nil {
		return nil, corruptIfMissing(err, s.path)
	}
	rec, ok := readRecord(s.data, number, 0)
	if !ok && len(s.data) <= headerBytes {
		return nil, fmt.Errorf("%w: %w", s.corrupt(0, "segment header damaged"), errTornHeader)
	}
	if !ok || rec.kind != recordHeader || rec.end != headerBytes {
		return nil, s.corrupt(0, "segment header damaged")
	}
	if s.header, err = decodeHeader(rec.payload); err != nil {
		return nil, s.corrupt(0, err.Error())
	}
	if s.header.Segment != number || s.header.FirstSegment == 0 || s.header.FirstSegment > number {
		return nil, s.corrupt(0, fmt.Sprintf("segment header has invalid segment number %d or first segment %d",
			s.header.Segment, s.header.FirstSegment))
	}
	return s, nil
}

func (s *segmentFile) corrupt(offset int, reason string) error {
	return &CorruptError{File: s.path, Offset: int64(offset), Reason: reason}
}

// replay rebuilds the state of a Log from its segments, oldest first.
type replay struct {
	log *Log
	end int // offset after the last valid record of the last segment
}

// replaySegment replays one segment. Only the last segment may end in a torn record.
func (r *replay) replaySegment(s *segmentFile, last bool) error {
	if err := r.applyHeader(s); err != nil {
		return err
	}
	for offset := headerBytes; offset < len(s.data); {
		rec, ok := readRecord(s.data, s.number, offset)
		if !ok {
			if !last {
				return s.corrupt(offset, "record damaged")
			}
			if hasRecordAfter(s.data, s.number, offset) {
				return s.corrupt(offset, "record damaged and followed by a valid record")
			}
			r.end = offset
			return nil
		}
		if err := r.applyRecord(s, offset, rec); err != nil {
			return err
		}
		offset = rec.end
	}
	r.end = len(s.data)
	return nil
}

// applyHeader checks that a segment continues the log and applies the state in its header.
func (r *replay) applyHeader(s *segmentFile) error {
	l, h := r.log, s.header
	t := &l.tail
	switch {
	case len(l.segments) == 0: // first segment in use; earlier ones were removed
		*t = tail{last: h.Last}
	case h.Last == h.Snapshot && h.Snapshot != t.snapshot: // new snapshot with no entries after it
		t.reset(h.Snapshot)
	case h.Last != t.last || h.Snapshot.Index < t.snapshot.Index:
		return s.corrupt(0, "segment does not continue the previous segment")
	}
	t.snapshot = h.Snapshot
	l.hardState = h.HardState
	l.segments = append(l.segments, segment{number: s.number})
	return nil
}

func (r *replay) applyRecord(s *segmentFile, offset int, rec record) error {
	l := r.log
	var b batch
	if rec.kind != recordBatch {
		return s.corrupt(offset, fmt.Sprintf("record type is %d, want %d", rec.kind, recordBatch))
	}
	if err := decoder.Unmarshal(rec.payload, &b); err != nil {
		return s.corrupt(offset, err.Error())
	}
	if err := l.tail.checkOrder(b.Entries); err != nil {
		return s.corrupt(offset, err.Error())
	}
	if b.HardState != nil {
		l.hardState = *b.HardState
	}
	l.tail.replace(b.Entries)
	if n := len(b.Entries); n > 0 {
		current := &l.segments[len(l.segments)-1]
		current.maxIndex = max(current.maxIndex, b.Entries[n-1].Index)
	}
	return nil
}

// finish checks that no entries are missing and returns the entries after the snapshot.
func (r *replay) finish(last *segmentFile) ([]replog.Entry, error) {
	l := r.log
	t := &l.tail
	t.dropUpTo(t.snapshot.Index)
	next := t.snapshot.Index + 1
	if len(t.entries) > 0 && t.entries[0].Index != next || len(t.entries) == 0 && t.last.Index >= next {
		return nil, last.corrupt(0, fmt.Sprintf("entries after snapshot index %d are missing", t.snapshot.Index))
	}
	l.hardState.Commit = max(l.hardState.Commit, t.snapshot.Index)
	if l.hardState.Commit > t.last.Index {
		return nil, last.corrupt(r.end, fmt.Sprintf("log ends at index %d, before commit index %d; acknowledged entries are missing",
			t.last.Index, l.hardState.Commit))
	}
	entries := t.entries
	t.entries = stripData(entries)
	return entries, nil
}
