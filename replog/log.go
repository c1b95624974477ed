package replog

import (
	"fmt"
	"slices"
)

// entryLog is the log after the last snapshot, with its durable, committed and applied indexes.
type entryLog struct {
	// snapshot covers everything before entries. Its index is zero before the first compaction.
	snapshot Snapshot
	// snapshotPending is set while a received snapshot is not yet durable.
	snapshotPending bool
	entries         []Entry
	// stable is the last index that the caller has made durable.
	stable  uint64
	commit  uint64
	applied uint64
}

func newEntryLog(r RestoredState) (entryLog, error) {
	l := entryLog{snapshot: r.Snapshot, entries: slices.Clone(r.Entries)}
	term := r.Snapshot.Term
	for i, e := range l.entries {
		if e.Index != l.snapshot.Index+uint64(i)+1 || e.Term < term {
			return l, fmt.Errorf("%w: entry %d of term %d does not continue the log", ErrCorrupt, e.Index, e.Term)
		}
		term = e.Term
	}
	// The persisted commit index never exceeds the entries made durable before it, so a shorter log has lost entries.
	if r.HardState.Commit > l.last() {
		return l, fmt.Errorf("%w: commit index %d is after the last index %d", ErrCorrupt, r.HardState.Commit, l.last())
	}
	l.stable = l.last()
	l.commit = max(r.HardState.Commit, l.snapshot.Index)
	l.applied = l.snapshot.Index
	return l, nil
}

func (l *entryLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// term returns the term of the entry at index. The result ok is false if index is before the last entry that the snapshot
// covers or after the end of the log.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index < l.snapshot.Index || index > l.last():
		return 0, false
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends at (index, term) is at least as up to date as this one, by the comparison
// that Raft uses in elections.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// slice returns the entries in (after, to]. Later changes of the log do not overwrite the result.
func (l *entryLog) slice(after, to uint64) []Entry {
	if after >= to {
		return nil
	}
	from, end := after-l.snapshot.Index, to-l.snapshot.Index
	return l.entries[from:end:end]
}

// sliceWithinBytes returns the entries after an index, up to maxBytes of data but at least one entry if there is any.
func (l *entryLog) sliceWithinBytes(after uint64, maxBytes int) []Entry {
	all := l.slice(after, l.last())
	size := 0
	for i, e := range all {
		if size += len(e.Data); size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

// append adds entries that follow the last one.
func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entry at index and all later ones. It copies the remaining entries, because slices of the old
// ones may be in use.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.snapshot.Index-1])
	l.stable = min(l.stable, l.last())
}

// firstMissing returns the position of the first element of entries that the log does not hold, or len(entries) if it
// holds all of them. The result conflict is true if the log holds a different entry at that index.
func (l *entryLog) firstMissing(entries []Entry) (position int, conflict bool) {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return i, e.Index <= l.last()
		}
	}
	return len(entries), false
}

// lastWithTermAtMost returns the highest index up to limit whose entry has at most the given term. On a conflict, the
// search for the last matching entry thereby skips whole terms.
func (l *entryLog) lastWithTermAtMost(limit, term uint64) uint64 {
	index := min(limit, l.last())
	for index > l.snapshot.Index {
		if t, _ := l.term(index); t <= term {
			return index
		}
		index--
	}
	return index
}

// markStable records that the entries up to the given one are durable, unless that entry has been replaced since.
func (l *entryLog) markStable(index, term uint64) {
	if l.matches(index, term) {
		l.stable = max(l.stable, index)
	}
}

// restore replaces the log with a snapshot received from the leader.
func (l *entryLog) restore(s Snapshot) {
	*l = entryLog{snapshot: s, snapshotPending: true, stable: s.Index, commit: s.Index, applied: l.applied}
}

// compact drops the entries that the snapshot covers.
func (l *entryLog) compact(s Snapshot) {
	l.entries = slices.Clone(l.slice(s.Index, l.last()))
	l.snapshot = s
}
