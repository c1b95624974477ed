package cluster

// Revision identifies the state known to a Cluster. Equal revisions stand for the same View, Upstreams, Nodes and
// Connected.
type Revision struct {
	View, Upstreams, Nodes uint64
	Connected              bool
}
