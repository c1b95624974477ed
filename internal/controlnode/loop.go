package controlnode

import (
	"errors"
	"math"
	"time"

	"github.com/bramleypick/bramleypick/replog"
)

// run is the main loop. Each iteration handles the pending events, then persists and sends the resulting state.
func (n *Node) run() {
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	var err error
	for more := true; more && err == nil; {
		more, err = n.iterate(ticker.C)
	}
	if err != nil {
		n.fail(err)
	}
	n.reads.fail(ErrNotLeader)
	close(n.applier.batches)
	<-n.applier.done
	n.pending.abandon(0, math.MaxUint64)
	close(n.stopped)
}

// iterate performs one iteration of the loop. It returns false if the replica was stopped, and an error if it must stop.
func (n *Node) iterate(ticks <-chan time.Time) (more bool, err error) {
	select {
	case <-n.stopping:
		return false, nil
	default:
	}
	if !n.core.HasReady() {
		if more, err := n.waitForEvent(ticks); !more || err != nil {
			return more, err
		}
	}
	// Handle everything that arrived during the last fsync, so that it shares the next one.
	for range maxEventsPerIteration {
		handled, err := n.pollEvent(ticks)
		if err != nil {
			return true, err
		}
		if !handled {
			break
		}
	}
	n.startReadConfirmation()
	iterationAt := n.cfg.Clock() // not later than the heartbeats of this iteration are sent
	if err := n.handleReady(); err != nil {
		return true, err
	}
	n.updateStatus()
	n.lease.record(n.status.Load(), iterationAt)
	return true, nil
}

// step passes a message to replog. Invalid messages are counted and dropped.
func (n *Node) step(m replog.Message) error {
	err := n.core.Step(m)
	if errors.Is(err, replog.ErrCorrupt) {
		return err
	}
	if err != nil {
		n.counters.invalidMessages.Add(1)
	}
	return nil
}

// handleReady processes a Ready as replog requires: persist the state, send the messages, pass the committed entries to the
// applier, and advance.
func (n *Node) handleReady() error {
	if !n.core.HasReady() {
		return nil
	}
	r := n.core.Ready()
	if r.Snapshot != nil {
		if err := n.log.SaveSnapshot(*r.Snapshot); err != nil {
			return err
		}
	}
	if err := n.log.Save(r.HardState, r.Entries); err != nil {
		return err
	}
	for _, m := range r.Messages {
		n.transport.Send(m.To, m)
	}
	batch := applyBatch{restore: r.Snapshot, entries: r.Committed, reads: n.confirmReads(r.ReadStates)}
	if !batch.empty() {
		select {
		case n.applier.batches <- batch:
		case <-n.stopping:
			for _, read := range batch.reads {
				read.fail(ErrNotLeader)
			}
			return nil // the next iteration returns false
		}
	}
	n.core.Advance(r)
	return nil
}

// startReadConfirmation starts a leadership confirmation for the waiting barriers, unless one is running.
func (n *Node) startReadConfirmation() {
	token, ok := n.reads.start()
	if !ok {
		return
	}
	if err := n.core.ReadIndex(token); err != nil {
		n.reads.fail(err)
		return
	}
	n.counters.readConfirmations.Add(1)
}

// confirmReads returns the barriers whose confirmations have completed, with their read indexes.
func (n *Node) confirmReads(states []replog.ReadState) []confirmedRead {
	var reads []confirmedRead
	for _, state := range states {
		if barriers := n.reads.confirmed(state.Token); len(barriers) > 0 {
			reads = append(reads, confirmedRead{index: state.Index, barriers: barriers})
		}
	}
	return reads
}

// updateStatus publishes the status, fails pending calls when leadership changes, and proposes automatic membership changes.
func (n *Node) updateStatus() {
	status := n.core.Status()
	n.status.Store(&status)
	leaderTerm := uint64(0)
	if status.Role == replog.RoleLeader {
		leaderTerm = status.Term
	}
	if leaderTerm != n.leaderTerm {
		// Entries up to the commit index are committed, and the applier completes their proposals.
		n.pending.abandon(status.Commit+1, math.MaxUint64)
		n.reads.fail(ErrNotLeader)
		n.leaderTerm = leaderTerm
	}
	if change, ok := n.voters.nextChange(status); ok {
		if _, _, err := n.core.ProposeMembership(change); err == nil {
			n.counters.voterChanges.Add(1)
		}
	}
}

// fail reports the error that stops the replica through Failed; only the first is reported.
func (n *Node) fail(err error) {
	select {
	case n.failed <- err:
	default:
	}
}
