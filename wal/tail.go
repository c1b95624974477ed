package wal

import (
	"fmt"

	"github.com/bramleypick/bramleypick/replog"
)

// tail is the part of the log after the snapshot. In an open Log the entries are kept without data.
type tail struct {
	snapshot entryID
	last     entryID
	entries  []replog.Entry // up to last; while replaying, the first ones may be missing
}

// checkOrder reports whether replace accepts the entries.
func (t *tail) checkOrder(entries []replog.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= t.snapshot.Index || first > t.last.Index+1 {
		return fmt.Errorf("%w: index %d after snapshot %d and log end %d", ErrOrder, first, t.snapshot.Index, t.last.Index)
	}
	for i, entry := range entries {
		if entry.Index != first+uint64(i) {
			return fmt.Errorf("%w: index %d after %d", ErrOrder, entry.Index, first+uint64(i)-1)
		}
	}
	return nil
}

// replace appends entries and drops those that they overwrite, and all after them.
func (t *tail) replace(entries []replog.Entry) {
	if len(entries) == 0 {
		return
	}
	if len(t.entries) > 0 && entries[0].Index >= t.entries[0].Index {
		t.entries = t.entries[:entries[0].Index-t.entries[0].Index]
	} else {
		t.entries = t.entries[:0]
	}
	t.entries = append(t.entries, entries...)
	end := entries[len(entries)-1]
	t.last = entryID{Index: end.Index, Term: end.Term}
}

// compact drops the entries up to a snapshot, and all entries if the log doesn't contain the snapshot's last entry.
func (t *tail) compact(snapshot entryID) {
	if !t.contains(snapshot) {
		t.reset(snapshot)
		return
	}
	t.snapshot = snapshot
	t.dropUpTo(snapshot.Index)
}

// reset makes the log consist of a snapshot only.
func (t *tail) reset(snapshot entryID) {
	*t = tail{snapshot: snapshot, last: snapshot}
}

func (t *tail) contains(at entryID) bool {
	if len(t.entries) == 0 || at.Index < t.entries[0].Index || at.Index > t.last.Index {
		return false
	}
	return t.entries[at.Index-t.entries[0].Index].Term == at.Term
}

// dropUpTo copies what remains, so that the memory of the dropped entries is released.
func (t *tail) dropUpTo(index uint64) {
	kept := t.entries
	for len(kept) > 0 && kept[0].Index <= index {
		kept = kept[1:]
	}
	t.entries = append([]replog.Entry(nil), kept...)
}

// stripData removes the data of the entries, which an open Log doesn't need.
func stripData(entries []replog.Entry) []replog.Entry {
	stripped := make([]replog.Entry, len(entries))
	for i, entry := range entries {
		stripped[i] = replog.Entry{Index: entry.Index, Term: entry.Term, Kind: entry.Kind}
	}
	return stripped
}
