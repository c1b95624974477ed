package controlnode

import (
	"context"
	"fmt"
)

// barrier is a call of ReadBarrier.
type barrier struct {
	done chan readResult // capacity 1, receives once
}

type readResult struct {
	index uint64
	err   error
}

// ReadBarrier returns once a quorum confirmed that this replica was still the leader after the call, and everything
// committed before is applied here; index is what it waited for. Calls that arrive together share one confirmation.
// Errors: ErrNotLeader, also when leadership was lost meanwhile, and the error of ctx.
func (n *Node) ReadBarrier(ctx context.Context) (index uint64, err error) {
	b := &barrier{done: make(chan readResult, 1)}
	select {
	case n.barriers <- b:
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-n.stopped:
		return 0, fmt.Errorf("%w: %w", ErrNotLeader, ErrStopped)
	}
	select {
	case o := <-b.done:
		return o.index, o.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-n.stopped:
		return 0, fmt.Errorf("%w: %w", ErrNotLeader, ErrStopped)
	}
}

// readConfirmations groups barriers into confirmations. One confirmation runs at a time; barriers that arrive meanwhile share
// the next one, because a confirmation covers only calls made before it started.
type readConfirmations struct {
	waiting []*barrier
	running []*barrier
	token   uint64 // of the running confirmation
}

func (r *readConfirmations) add(b *barrier) { r.waiting = append(r.waiting, b) }

// start returns the token of a new confirmation and false if none is needed or possible now.
func (r *readConfirmations) start() (token uint64, ok bool) {
	if len(r.running) > 0 || len(r.waiting) == 0 {
		return 0, false
	}
	r.token++
	r.running, r.waiting = r.waiting, nil
	return r.token, true
}

// confirmed returns the barriers of a confirmation.
func (r *readConfirmations) confirmed(token uint64) []*barrier {
	if token != r.token {
		return nil
	}
	confirmed := r.running
	r.running = nil
	return confirmed
}

// fail answers all barriers with an error.
func (r *readConfirmations) fail(err error) {
	for _, b := range append(r.running, r.waiting...) {
		b.done <- readResult{err: err}
	}
	r.running, r.waiting = nil, nil
}
