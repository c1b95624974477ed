package placement

import (
	"slices"
	"sync"
)

// Senders selects, for each key, those members that may send to it while only some may: the ones with the highest
// rendezvous scores. It is safe for concurrent use.
type Senders struct {
	mu      sync.Mutex
	members []Member
}

// NewSenders returns a selection without members.
func NewSenders() *Senders { return &Senders{} }

// Update replaces the members.
func (s *Senders) Update(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.Clone(members)
}

// Len returns the number of members.
func (s *Senders) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members)
}

// IsSender reports whether a member is among the count members with the highest scores for a key. For a member that is
// not, it usually ends after a few times count steps.
func (s *Senders) IsSender(key, member string, count int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, higher, listed := Score(key, member), 0, false
	for _, m := range s.members {
		if m.Name == member {
			listed = true
			continue
		}
		if score := Score(key, m.Name); score > own || score == own && m.Name < member {
			higher++
			if higher >= count {
				return false
			}
		}
	}
	return listed
}
