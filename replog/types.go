package replog

// NodeID identifies a replica. Zero means no replica. A replica that lost its disk takes a new id, because its votes
// and acknowledgements were lost with the disk.
type NodeID uint64

// EntryKind is the type of an entry's data.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand    EntryKind = 0 // Data is a command of the state machine.
	EntryMembership EntryKind = 1 // Data is an encoded Membership, which takes effect when it is appended.
	EntryNoop       EntryKind = 2 // No data; a new leader appends it.
)

// Entry is one entry of the replicated log. Index starts at 1.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is the state that a replica must persist before it responds to a message.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   NodeID `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
	// Joining is set on a replica that started without data and has not been a learner since. Such a replica neither
	// votes nor leads: if its id was a voter before, it may have acknowledged entries and granted votes of which it has
	// no record.
	Joining bool `cbor:"4,keyasint,omitempty"`
}

// Membership is the set of replicas of a group. Learners receive the log but do not count towards a majority.
type Membership struct {
	Voters   []NodeID `cbor:"1,keyasint"`
	Learners []NodeID `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the state of the state machine after the entry at Index was applied.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint,omitempty"`
}

// RestoredState is the content of a replica's durable storage when it was opened. Entries start at Snapshot.Index+1 and
// have no gap.
type RestoredState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// ReadState is the result of a ReadIndex call. A quorum confirmed the leadership after the call with Token, so reads
// are linearizable once Index is applied.
type ReadState struct {
	Token uint64
	Index uint64
}
