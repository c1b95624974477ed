package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against gateways that select other senders from the same members, and against more or fewer than the wanted number.
func TestSendersAgree(t *testing.T) {
	is := is.New(t)
	var members []Member
	for i := range 40 {
		members = append(members, numberedMember("m", i))
	}
	forward, backward := NewSenders(), NewSenders()
	forward.Update(members)
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	backward.Update(reversed)
	for i := range 50 {
		key := fmt.Sprint("k", i)
		for _, count := range []int{1, 5, 40, 60} {
			senders := 0
			for _, m := range members {
				is.Equal(forward.IsSender(key, m.Name, count), backward.IsSender(key, m.Name, count))
				if forward.IsSender(key, m.Name, count) {
					senders++
				}
			}
			is.Equal(senders, min(count, len(members)))
		}
		is.True(!forward.IsSender(key, "unlisted", 60))
	}
}

// Guards against a change of the members that moves more senders than the member that left or joined.
func TestSendersMoveLittle(t *testing.T) {
	is := is.New(t)
	var members []Member
	for i := range 40 {
		members = append(members, numberedMember("m", i))
	}
	before, after := NewSenders(), NewSenders()
	before.Update(members)
	after.Update(members[1:])
	for i := range 50 {
		key, joined := fmt.Sprint("k", i), 0
		for _, m := range members[1:] {
			is.True(after.IsSender(key, m.Name, 5) || !before.IsSender(key, m.Name, 5))
			if after.IsSender(key, m.Name, 5) && !before.IsSender(key, m.Name, 5) {
				joined++
			}
		}
		is.True(joined <= 1)
	}
}
