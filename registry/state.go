package registry

// State is the state of an upstream, as last announced.
type State uint8

// States, in the order in which a process of an upstream passes through them.
const (
	Ready    State = 1
	Draining State = 2 // Gets no new requests.
	Gone     State = 3 // Deregistered, or another process has taken over its address.
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
