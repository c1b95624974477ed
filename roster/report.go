package roster

// Report is the report of a control replica about a node.
type Report struct {
	Node Node `cbor:"1,keyasint"`
	// Alive is false if the replica has lost its connection to the node.
	Alive bool `cbor:"2,keyasint,omitempty"`
}
