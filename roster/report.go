package roster

// Report is what a control replica says about a node.
type Report struct {
	Node Node `cbor:"1,keyasint"`
	// Alive is false if the replica has lost the node.
	Alive bool `cbor:"2,keyasint,omitempty"`
}
