package replog

import "slices"

// quorumSize returns the size of a majority of n voters.
func quorumSize(n int) int { return n/2 + 1 }

// quorumValue returns the highest value that a majority of voters has reached, or zero if there are no voters.
func quorumValue(voters []NodeID, value func(NodeID) uint64) uint64 {
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, len(voters))
	for i, id := range voters {
		values[i] = value(id)
	}
	slices.Sort(values)
	return values[len(values)-quorumSize(len(values))]
}

// hasQuorum reports whether a majority of voters satisfies the condition. It is false if there are no voters.
func hasQuorum(voters []NodeID, condition func(NodeID) bool) bool {
	count := 0
	for _, id := range voters {
		if condition(id) {
			count++
		}
	}
	return len(voters) > 0 && count >= quorumSize(len(voters))
}
