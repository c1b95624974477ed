package controlnode

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/bramleypick/bramleypick/replog"
)

// proposal is a command or a membership change on its way into the log.
type proposal struct {
	data    []byte
	change  *replog.MembershipChange // nil for a command
	claimed atomic.Bool              // set once, by the loop to append it or by the caller to withdraw it
	done    chan outcome             // capacity 1, receives once
}

// outcome answers a proposal.
type outcome struct {
	result []byte
	err    error
}

// claim returns true to the first caller only.
func (p *proposal) claim() bool { return p.claimed.CompareAndSwap(false, true) }

// submit hands a proposal to the loop and waits for its outcome.
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
	case o := <-p.done: // answered at the same moment
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
