package cluster

// Revision tells what a process knows from what it knew before: two that are equal stand for the same View, Upstreams, Nodes
// and InTouch.
type Revision struct {
	View, Upstreams, Nodes uint64
	InTouch                bool
}
