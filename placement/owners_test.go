package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// numberedMember returns a member in one of three zones.
func numberedMember(prefix string, n int) Member {
	return Member{Name: fmt.Sprint(prefix, n), Zone: fmt.Sprint("z", n%3)}
}

// Guards against an owner that depends on the order of updates. Gateways that learn of the same members in a different
// order could then both consider themselves the owner, or neither of them.
func TestOwnersDependOnTheMembersOnly(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	incremental := NewOwners()
	for range 300 {
		var members []Member
		for i := range 40 {
			// The third zone often has no members.
			if m := numberedMember("m", i); random.IntN(3) > 0 && (m.Zone != "z2" || random.IntN(20) == 0) {
				members = append(members, m)
			}
		}
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		var keys []Key
		for i := range 60 {
			if random.IntN(4) > 0 {
				keys = append(keys, Key(numberedMember("k", i)))
			}
		}
		incremental.Update(members)
		is.Equal(len(incremental.owners), 0) // removed keys are dropped
		full := NewOwners()
		sorted := slices.Clone(members)
		slices.SortFunc(sorted, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
		full.Update(sorted)
		for _, k := range keys {
			is.Equal(incremental.Owner(k), full.Owner(k))
			local := Select(k.Name, members, 1)
			for _, m := range local {
				if m.Zone == k.Zone {
					is.Equal(incremental.Owner(k), m.Name) // the highest score in its own zone
				}
			}
		}
	}
	incremental.Update(nil)
	is.Equal(incremental.Owner(Key{Name: "k"}), "")
}

// BenchmarkOwners measures the change of one of 300 members while 20 upstreams are cold.
func BenchmarkOwners(b *testing.B) {
	var members []Member
	for i := range 300 {
		members = append(members, numberedMember("vm-", i))
	}
	o := NewOwners()
	for i := range b.N {
		o.Update(members[i%2:])
		for k := range 20 {
			o.Owner(Key(numberedMember("upstream-", k)))
		}
	}
}
