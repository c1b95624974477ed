package replog

// indexedMembership is a membership with the index of the entry that put it in force.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// membershipHistory holds the memberships of the log in order of their index. The first is that of the snapshot or of
// the bootstrap; it is never removed by truncation.
type membershipHistory []indexedMembership

// current returns the membership in force, which is the last one whether it is committed or not.
func (h membershipHistory) current() indexedMembership { return h[len(h)-1] }

// at returns the membership in force at index.
func (h membershipHistory) at(index uint64) Membership {
	i := len(h) - 1
	for i > 0 && h[i].index > index {
		i--
	}
	return h[i].membership
}

// truncate removes the memberships of entries at and after index, which restores the one before.
func (h *membershipHistory) truncate(index uint64) {
	for len(*h) > 1 && h.current().index >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// compact drops memberships that were replaced at or before index.
func (h *membershipHistory) compact(index uint64) {
	for len(*h) > 1 && (*h)[1].index <= index {
		*h = (*h)[1:]
	}
}

// add records the memberships of appended entries, whose data was validated before.
func (h *membershipHistory) add(entries []Entry) error {
	for _, e := range entries {
		if e.Kind != EntryMembership {
			continue
		}
		m, err := decodeMembership(e.Data)
		if err != nil {
			return err
		}
		*h = append(*h, indexedMembership{index: e.Index, membership: m})
	}
	return nil
}
