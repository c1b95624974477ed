package replog

import "fmt"

// MessageType tells what a message is for.
type MessageType uint8

// Types of messages. The numbers are part of the protocol between replicas.
const (
	MessagePreVote           MessageType = 1  // Asks whether a vote in Term would be granted; changes no state.
	MessagePreVoteResponse   MessageType = 2  // Answers MessagePreVote.
	MessageVote              MessageType = 3  // Asks for the vote in Term.
	MessageVoteResponse      MessageType = 4  // Answers MessageVote.
	MessageAppend            MessageType = 5  // Carries entries after Index and the commit index.
	MessageAppendResponse    MessageType = 6  // Acknowledges entries up to Index, or rejects them with a hint.
	MessageHeartbeat         MessageType = 7  // Asserts leadership and carries a read-index round.
	MessageHeartbeatResponse MessageType = 8  // Acknowledges the round.
	MessageSnapshot          MessageType = 9  // Carries a snapshot to a replica behind the compacted log.
	MessageTimeoutNow        MessageType = 10 // Asks the target of a leadership transfer to start an election.
	MessageTermNotice        MessageType = 11 // Tells a replica with an older term the sender's term.
)

// Message is sent from one replica to another. Unused fields are zero.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From NodeID      `cbor:"2,keyasint"`
	To   NodeID      `cbor:"3,keyasint"`
	// Term is the sender's term, or in a pre-vote and its granted response the term of the planned election.
	Term uint64 `cbor:"4,keyasint"`
	// Index is the candidate's last index, the index before Entries, or the acknowledged or rejected index.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index, or in a rejection the term of the entry at Hint.
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	// Snapshot is set in MessageSnapshot only.
	Snapshot *Snapshot `cbor:"9,keyasint,omitempty"`
	Reject   bool      `cbor:"10,keyasint,omitempty"`
	// Hint is the highest index, in a rejection, at which the sender's log may match the leader's.
	Hint uint64 `cbor:"11,keyasint,omitempty"`
	// Round numbers the heartbeats of a term so that a read index is confirmed by later heartbeats only.
	Round uint64 `cbor:"12,keyasint,omitempty"`
	// Transfer marks the vote request of a leadership transfer, which is served although the leader is alive.
	Transfer bool `cbor:"13,keyasint,omitempty"`
}

// fromLeader tells whether only the leader of Term sends the message.
func (m Message) fromLeader() bool {
	return m.Type == MessageAppend || m.Type == MessageHeartbeat || m.Type == MessageSnapshot
}

// validateMessage rejects messages that a correct replica does not send, before any state is changed.
func (c *Core) validateMessage(m Message) error {
	if m.To != c.cfg.ID || m.From == 0 || m.From == c.cfg.ID {
		return fmt.Errorf("%w: from %d to %d at replica %d", ErrInvalidMessage, m.From, m.To, c.cfg.ID)
	}
	switch m.Type {
	case MessageAppend:
		return validateEntries(m)
	case MessageSnapshot:
		if m.Snapshot == nil || m.Snapshot.Index == 0 || m.Snapshot.Term > m.Term {
			return fmt.Errorf("%w: snapshot is missing or has no valid index and term", ErrInvalidMessage)
		}
		if err := m.Snapshot.Membership.validate(); err != nil {
			return fmt.Errorf("%w: snapshot: %w", ErrInvalidMessage, err)
		}
	}
	if m.Type < MessagePreVote || m.Type > MessageTermNotice {
		return fmt.Errorf("%w: unknown type %d", ErrInvalidMessage, m.Type)
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
