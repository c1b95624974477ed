package registry

// State is what an upstream said about itself last.
type State uint8

// States in the order in which a process of an upstream goes through them.
const (
	Ready    State = 1
	Draining State = 2 // Gets nothing new.
	Gone     State = 3 // Deregistered, or another process took its address.
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}
