package controlnode

import "sync"

// pendingProposals holds the proposals that this replica appended and that are not decided yet. The loop adds proposals,
// and the applier completes them.
type pendingProposals struct {
	mu      sync.Mutex
	byIndex map[uint64]appendedProposal
}

type appendedProposal struct {
	term     uint64
	proposal *proposal
}

func newPendingProposals() *pendingProposals {
	return &pendingProposals{byIndex: map[uint64]appendedProposal{}}
}

// add registers a proposal under its log index. If one is already registered there, its entry was overwritten in the log,
// and it is completed with ErrOutcomeUnknown.
func (p *pendingProposals) add(index, term uint64, prop *proposal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.byIndex[index]; ok {
		old.proposal.done <- outcome{err: ErrOutcomeUnknown}
	}
	p.byIndex[index] = appendedProposal{term: term, proposal: prop}
}

// applied completes the proposal at index: with result if the applied entry has the term of the proposal, and with
// ErrOutcomeUnknown otherwise.
func (p *pendingProposals) applied(index, term uint64, result []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting, ok := p.byIndex[index]
	if !ok {
		return
	}
	delete(p.byIndex, index)
	if waiting.term != term {
		waiting.proposal.done <- outcome{err: ErrOutcomeUnknown}
		return
	}
	waiting.proposal.done <- outcome{result: result}
}

// abandon completes all proposals in the index range [from, to] with ErrOutcomeUnknown.
func (p *pendingProposals) abandon(from, to uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for index, waiting := range p.byIndex {
		if from <= index && index <= to {
			delete(p.byIndex, index)
			waiting.proposal.done <- outcome{err: ErrOutcomeUnknown}
		}
	}
}
