package controlnode

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/bramleypick/bramleypick/replog"
)

// proposal is a command or a membership change to be appended to the log.
type proposal struct {
	data    []byte
	change  *replog.MembershipChange // nil for a command
	claimed atomic.Bool              // set once, by the loop to append it or by the caller to withdraw it
	done    chan outcome             // capacity 1, receives once
}

// outcome is what submit returns for a completed proposal.
type outcome struct {
	result []byte
	err    error
}

// claim claims the proposal and reports whether it was unclaimed before.
func (p *proposal) claim() bool { return p.claimed.CompareAndSwap(false, true) }

// submit passes a proposal to the loop and waits for its outcome. If ctx ends or the replica stops before the loop has
// claimed the proposal, submit withdraws it.
func (n *Node) submit(ctx context.Context, p *proposal) ([]byte, error) {
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, notAppended(ctx.Err())
	case <-n.stopped:
		return nil, notAppended(ErrStopped)
	}
	var cause error
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-n.stopped:
		cause = ErrStopped
	}
	if p.claim() {
		return nil, notAppended(cause)
	}
	select {
	case o := <-p.done: // completed in the meantime
		return o.result, o.err
	default:
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
	}
}

// propose appends a proposal, unless its caller withdrew it.
func (n *Node) propose(p *proposal) {
	if !p.claim() {
		return
	}
	var index, term uint64
	var err error
	if p.change != nil {
		index, term, err = n.core.ProposeMembership(*p.change)
	} else {
		index, term, err = n.core.Propose(p.data)
	}
	switch {
	case err == nil:
		n.pending.add(index, term, p)
		n.counters.proposals.Add(1)
	case errors.Is(err, replog.ErrTransferring):
		p.done <- outcome{err: notAppended(err)}
	default:
		p.done <- outcome{err: err}
	}
}
