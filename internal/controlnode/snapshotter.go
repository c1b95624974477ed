package controlnode

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/wal"
)

// snapshotter moves at most one snapshot at a time from the applier through the loop to the log and back to the loop.
type snapshotter struct {
	log        *wal.Log
	maxEntries int
	maxBytes   int
	inProgress atomic.Bool
	taken      chan takenSnapshot // capacity 1, from the applier to the loop
	saved      chan savedSnapshot // capacity 1, from the writing goroutine to the loop
	writer     sync.WaitGroup
}

// takenSnapshot is the encoded state after index was applied.
type takenSnapshot struct {
	index uint64
	data  []byte
}

// savedSnapshot is the result of writing a snapshot.
type savedSnapshot struct {
	snapshot replog.Snapshot
	err      error
}

func newSnapshotter(cfg Config, log *wal.Log) *snapshotter {
	return &snapshotter{
		log: log, maxEntries: cfg.SnapshotEntries, maxBytes: cfg.SnapshotBytes,
		taken: make(chan takenSnapshot, 1), saved: make(chan savedSnapshot, 1),
	}
}

// due tells whether a snapshot should be taken after that many applied entries and bytes.
func (s *snapshotter) due(entries, bytes int) bool {
	return (entries >= s.maxEntries || bytes >= s.maxBytes) && !s.inProgress.Load()
}

// write saves a snapshot on its own goroutine, while the loop continues.
func (s *snapshotter) write(snapshot replog.Snapshot) {
	s.writer.Go(func() {
		s.saved <- savedSnapshot{snapshot: snapshot, err: s.log.SaveSnapshot(snapshot)}
	})
}

func (s *snapshotter) wait() { s.writer.Wait() }

// writeSnapshot completes a snapshot with term and membership and starts to write it. It is dropped if the leader's snapshot
// replaced the log meanwhile.
func (n *Node) writeSnapshot(t takenSnapshot) {
	snapshot, err := n.core.SnapshotAt(t.index, t.data)
	if err != nil {
		n.snapshots.inProgress.Store(false)
		return
	}
	n.snapshots.write(snapshot)
}

// compact drops the log that a durable snapshot covers.
func (n *Node) compact(s savedSnapshot) error {
	n.snapshots.inProgress.Store(false)
	if errors.Is(s.err, wal.ErrStaleSnapshot) {
		return nil
	}
	if s.err != nil {
		return s.err
	}
	if err := n.core.Compact(s.snapshot); err != nil && !errors.Is(err, replog.ErrInvalidSnapshot) {
		return err
	}
	n.counters.snapshots.Add(1)
	return nil
}
