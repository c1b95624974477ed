package replog

import "fmt"

// MessageType is the type of a message between replicas.
type MessageType uint8

// Message types. The numbers are part of the protocol between replicas.
const (
	MessagePreVote           MessageType = 1  // Asks whether a vote in Term would be granted. Changes no state.
	MessagePreVoteResponse   MessageType = 2  // Responds to MessagePreVote.
	MessageVote              MessageType = 3  // Requests a vote in Term.
	MessageVoteResponse      MessageType = 4  // Responds to MessageVote.
	MessageAppend            MessageType = 5  // Carries the entries after Index and the commit index.
	MessageAppendResponse    MessageType = 6  // Acknowledges entries up to Index, or rejects them with a hint.
	MessageHeartbeat         MessageType = 7  // Asserts leadership and carries the number of a heartbeat round.
	MessageHeartbeatResponse MessageType = 8  // Acknowledges the heartbeat round.
	MessageSnapshot          MessageType = 9  // Carries a snapshot to a replica that needs compacted entries.
	MessageTimeoutNow        MessageType = 10 // Instructs the target of a leadership transfer to start an election.
	MessageTermNotice        MessageType = 11 // Carries the sender's term to a replica with an older term.
)

// Message is sent from one replica to another. Unused fields are zero.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From NodeID      `cbor:"2,keyasint"`
	To   NodeID      `cbor:"3,keyasint"`
	// Term is the sender's term. In a pre-vote request and in a response that grants it, Term is the term of the
	// planned election.
	Term uint64 `cbor:"4,keyasint"`
	// Index is the candidate's last index, the index before Entries, or the acknowledged or rejected index, depending
	// on Type.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index, or in a rejection the term of the entry at Hint.
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	// Snapshot is set in MessageSnapshot only.
	Snapshot *Snapshot `cbor:"9,keyasint,omitempty"`
	Reject   bool      `cbor:"10,keyasint,omitempty"`
	// Hint is set in a rejection. It is the highest index at which the sender's log may match the leader's.
	Hint uint64 `cbor:"11,keyasint,omitempty"`
	// Round numbers the heartbeat rounds of a term, so that only heartbeats sent after a ReadIndex call confirm it.
	Round uint64 `cbor:"12,keyasint,omitempty"`
	// Transfer marks the vote request of a leadership transfer, which is processed even if there is a recent leader.
	Transfer bool `cbor:"13,keyasint,omitempty"`
}

// fromLeader reports whether the message is of a type that only the leader of Term sends.
func (m Message) fromLeader() bool {
	return m.Type == MessageAppend || m.Type == MessageHeartbeat || m.Type == MessageSnapshot
}

// validateMessage rejects messages that a correct replica does not send. Step calls it before it changes any state.
func (c *Core) validateMessage(m Message) error {
	if m.To != c.cfg.ID || m.From == 0 || m.From == c.cfg.ID {
		return fmt.Errorf("%w: sender %d and receiver %d at replica %d", ErrInvalidMessage, m.From, m.To, c.cfg.ID)
	}
	switch m.Type {
	case MessageAppend:
		return validateEntries(m)
	case MessageSnapshot:
		if m.Snapshot == nil {
			return fmt.Errorf("%w: snapshot missing in a message from replica %d", ErrInvalidMessage, m.From)
		}
		if m.Snapshot.Index == 0 || m.Snapshot.Term > m.Term {
			return fmt.Errorf("%w: invalid snapshot index %d or term %d in a message of term %d", ErrInvalidMessage,
				m.Snapshot.Index, m.Snapshot.Term, m.Term)
		}
		if err := m.Snapshot.Membership.validate(); err != nil {
			return fmt.Errorf("%w: snapshot: %w", ErrInvalidMessage, err)
		}
	}
	if m.Type < MessagePreVote || m.Type > MessageTermNotice {
		return fmt.Errorf("%w: unknown message type %d", ErrInvalidMessage, m.Type)
	}
	return nil
}

func validateEntries(m Message) error {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term {
			return fmt.Errorf("%w: entry %d of term %d out of order", ErrInvalidMessage, e.Index, e.Term)
		}
		term = e.Term
		if e.Kind != EntryMembership {
			continue
		}
		if _, err := decodeMembership(e.Data); err != nil {
			return fmt.Errorf("%w: entry %d: %w", ErrInvalidMessage, e.Index, err)
		}
	}
	return nil
}
