// Package placement assigns services and upstreams to gateways. Assignments are pure functions of their arguments, so
// that every replica and gateway computes the same result from the same view.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a gateway that can be selected, with its availability zone. Names are unique among the members of one call.
type Member struct {
	Name string
	Zone string
}

// separator prevents the pairs ("ab", "c") and ("a", "bc") from getting the same score.
const separator = "\x00"

// Score returns the rendezvous hashing score of a member for a key. Members with a higher score take precedence.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// The Write methods of Digest never return an error.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Select returns up to perZone members of each zone for a key, sorted by zone and then by descending score. Adding or
// removing a member affects the selection in its own zone only, by at most one member.
func Select(key string, members []Member, perZone int) []Member {
	type scored struct {
		Member
		score uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{m, Score(key, m.Name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	var chosen []Member
	inZone := 0
	for i, m := range all {
		if i == 0 || m.Zone != all[i-1].Zone {
			inZone = 0
		}
		if inZone < perZone {
			chosen = append(chosen, m.Member)
		}
		inZone++
	}
	return chosen
}
