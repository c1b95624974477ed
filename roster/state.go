package roster

// State is the state of a process, as reported by itself.
type State uint8

// States of a process.
const (
	Starting State = 1 // Cannot serve yet.
	Serving  State = 2
	Leaving  State = 3 // Shutting down; new clients must not be directed to it.
)
