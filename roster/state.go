package roster

// State is what a process says about itself.
type State uint8

// States of a process.
const (
	Starting State = 1 // Not able to serve yet.
	Serving  State = 2
	Leaving  State = 3 // Shuts down; new clients must not be sent to it.
)
