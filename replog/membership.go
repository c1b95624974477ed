package replog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// errMalformedMembership is wrapped by the errors of validate and decodeMembership.
var errMalformedMembership = errors.New("malformed membership")

// maxReplicas limits the voters and the learners of a membership each, to bound the memory that decoding takes.
const maxReplicas = 1024

// Contains reports whether id is a voter or a learner.
func (m Membership) Contains(id NodeID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id NodeID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id NodeID) bool { return slices.Contains(m.Learners, id) }

// Clone returns a copy that shares no memory with m.
func (m Membership) Clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

func (m Membership) equal(o Membership) bool {
	return slices.Equal(m.Voters, o.Voters) && slices.Equal(m.Learners, o.Learners)
}

// validate checks that there is at least one voter and that no id is zero or occurs twice.
func (m Membership) validate() error {
	if len(m.Voters) == 0 {
		return fmt.Errorf("%w: no voters", errMalformedMembership)
	}
	seen := map[NodeID]bool{0: true}
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if seen[id] {
			return fmt.Errorf("%w: id %d is zero or repeated", errMalformedMembership, id)
		}
		seen[id] = true
	}
	return nil
}

// encodeMembership returns the data of an EntryMembership: the number of voters, the voters, the number of learners and
// the learners, as unsigned varints.
func encodeMembership(m Membership) []byte {
	var data []byte
	for _, ids := range [][]NodeID{m.Voters, m.Learners} {
		data = binary.AppendUvarint(data, uint64(len(ids)))
		for _, id := range ids {
			data = binary.AppendUvarint(data, uint64(id))
		}
	}
	return data
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	var err error
	if m.Voters, data, err = decodeIDs(data); err != nil {
		return Membership{}, err
	}
	if m.Learners, data, err = decodeIDs(data); err != nil {
		return Membership{}, err
	}
	if len(data) > 0 {
		return Membership{}, fmt.Errorf("%w: %d trailing bytes", errMalformedMembership, len(data))
	}
	return m, m.validate()
}

func decodeIDs(data []byte) (ids []NodeID, rest []byte, err error) {
	count, n := binary.Uvarint(data)
	if n <= 0 || count > maxReplicas {
		return nil, nil, fmt.Errorf("%w: id count unreadable or above %d", errMalformedMembership, maxReplicas)
	}
	data = data[n:]
	for range count {
		id, n := binary.Uvarint(data)
		if n <= 0 {
			return nil, nil, fmt.Errorf("%w: id truncated or out of range", errMalformedMembership)
		}
		ids, data = append(ids, NodeID(id)), data[n:]
	}
	return ids, data, nil
}
