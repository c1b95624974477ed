package controlnode

import (
	"fmt"
	"sync"

	"github.com/bramleypick/bramleypick/replog"
)

// applyBatch is the part of a Ready that the applier handles, in the order of the fields.
type applyBatch struct {
	restore *replog.Snapshot
	entries []replog.Entry
	reads   []confirmedRead
}

func (b applyBatch) empty() bool { return b.restore == nil && len(b.entries) == 0 && len(b.reads) == 0 }

// confirmedRead is a group of barriers for which the leadership is confirmed and that wait until index is applied.
type confirmedRead struct {
	index    uint64
	barriers []*barrier
}

func (r confirmedRead) complete() {
	for _, b := range r.barriers {
		b.done <- readResult{index: r.index}
	}
}

func (r confirmedRead) fail(err error) {
	for _, b := range r.barriers {
		b.done <- readResult{err: err}
	}
}

// applier applies committed entries to the state machine and runs queries on it.
type applier struct {
	sm        StateMachine
	pending   *pendingProposals
	snapshots *snapshotter
	counters  *counters

	batches        chan applyBatch // closed by the loop
	queries        chan func()
	done           chan struct{} // closed when the goroutine has ended
	stoppedQueries sync.Mutex    // serializes queries after done is closed

	// The following fields are used by the applier's goroutine only.
	applied uint64
	entries int // entries applied since the last snapshot
	bytes   int // size of the data of these entries
}

func newApplier(sm StateMachine, applied uint64, p *pendingProposals, s *snapshotter, c *counters) *applier {
	return &applier{
		sm: sm, pending: p, snapshots: s, counters: c, applied: applied,
		batches: make(chan applyBatch, applyCapacity), queries: make(chan func()), done: make(chan struct{}),
	}
}

// runApplier applies the batches from the loop and runs queries until the loop ends.
func (n *Node) runApplier() {
	a := n.applier
	defer close(a.done)
	var err error
	for {
		select {
		case f := <-a.queries:
			f()
		case batch, ok := <-a.batches:
			if !ok {
				return
			}
			if err == nil { // after an error the state is invalid, so later batches fail too
				err = a.apply(batch)
			}
			if err != nil {
				n.failApply(batch, err)
			}
		}
	}
}

// failApply fails the reads of a batch that was not applied and stops the node with err, unless it is already stopping.
func (n *Node) failApply(batch applyBatch, err error) {
	for _, read := range batch.reads {
		read.fail(ErrNotLeader)
	}
	n.stopOnce.Do(func() {
		n.fail(err)
		close(n.stopping)
	})
}

func (a *applier) apply(batch applyBatch) error {
	if batch.restore != nil {
		if err := a.sm.Restore(batch.restore.Data); err != nil {
			return fmt.Errorf("%w: restoring snapshot %d: %w", replog.ErrCorrupt, batch.restore.Index, err)
		}
		a.pending.abandon(0, batch.restore.Index)
		a.applied, a.entries, a.bytes = batch.restore.Index, 0, 0
	}
	for _, entry := range batch.entries {
		if entry.Index != a.applied+1 {
			return fmt.Errorf("%w: committed entry %d does not follow the last applied entry %d", replog.ErrCorrupt, entry.Index, a.applied)
		}
		var result []byte
		if entry.Kind == replog.EntryCommand {
			result = a.sm.Apply(entry.Index, entry.Data)
		}
		a.applied = entry.Index
		a.entries++
		a.bytes += len(entry.Data)
		a.pending.applied(entry.Index, entry.Term, result)
	}
	a.counters.applied.Add(uint64(len(batch.entries)))
	for _, read := range batch.reads {
		if read.index > a.applied {
			return fmt.Errorf("%w: read index %d exceeds the last applied entry %d", replog.ErrCorrupt, read.index, a.applied)
		}
		read.complete()
	}
	a.takeSnapshot()
	return nil
}

// takeSnapshot encodes the state and passes it to the loop if a snapshot is due. The loop keeps running during the encoding.
func (a *applier) takeSnapshot() {
	if !a.snapshots.due(a.entries, a.bytes) {
		return
	}
	a.entries, a.bytes = 0, 0
	data, err := a.sm.Snapshot()
	if err != nil {
		a.counters.snapshotErrors.Add(1)
		return
	}
	a.snapshots.inProgress.Store(true)
	a.snapshots.taken <- takenSnapshot{index: a.applied, data: data}
}

// query runs f on the applier's goroutine between two Apply calls or, once that goroutine has ended, on the caller's.
func (a *applier) query(f func()) {
	ran := make(chan struct{})
	select {
	case a.queries <- func() { f(); close(ran) }:
		<-ran
	case <-a.done:
		a.stoppedQueries.Lock()
		defer a.stoppedQueries.Unlock()
		f()
	}
}
