package placement

import "sync"

// Key identifies an object that one member at a time is responsible for.
type Key struct{ Name, Zone string }

// Owners assigns each key to one member: the one with the highest rendezvous score in the key's zone, or of all members
// if the zone has none. It computes an assignment when it is first asked for, because that takes one step for each
// member, and only few keys are ever asked for between two changes of the members. It is safe for concurrent use.
type Owners struct {
	mu      sync.Mutex
	members []Member
	byZone  map[string][]Member
	owners  map[Key]string // those computed since the last change of the members
}

// NewOwners returns an empty assignment.
func NewOwners() *Owners { return &Owners{} }

// Update replaces the members.
func (o *Owners) Update(members []Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.members, o.byZone, o.owners = members, make(map[string][]Member), make(map[Key]string)
	for _, m := range members {
		o.byZone[m.Zone] = append(o.byZone[m.Zone], m)
	}
}

// Owner returns the name of the owner of a key, or "" if there are no members.
func (o *Owners) Owner(k Key) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner, known := o.owners[k]; known {
		return owner
	}
	candidates := o.byZone[k.Zone]
	if len(candidates) == 0 {
		candidates = o.members
	}
	owner, best := "", uint64(0)
	for _, m := range candidates {
		if score := Score(k.Name, m.Name); owner == "" || score > best || score == best && m.Name < owner {
			owner, best = m.Name, score
		}
	}
	if o.owners != nil {
		o.owners[k] = owner
	}
	return owner
}
