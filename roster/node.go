package roster

// Node is one process of the system.
type Node struct {
	// IP identifies the VM of the process.
	IP string `cbor:"1,keyasint"`
	// Incarnation is the start time of the process in ms since the Unix epoch. It increases with each restart.
	Incarnation int64 `cbor:"2,keyasint"`
	// Seq increases with each change of the node within one incarnation.
	Seq   uint64 `cbor:"3,keyasint"`
	Name  string `cbor:"4,keyasint"`
	Zone  string `cbor:"5,keyasint"`
	State State  `cbor:"6,keyasint"`
	// ClientAddress is the address at which clients connect.
	ClientAddress string `cbor:"7,keyasint,omitempty"`
	// ControlAddress is the address of the operators' interface.
	ControlAddress string `cbor:"8,keyasint,omitempty"`
	// PeerAddress is the address at which other processes of the system connect.
	PeerAddress string `cbor:"9,keyasint"`
	// ReplicaID is the id of the control replica in the process. Zero means none.
	ReplicaID uint64 `cbor:"10,keyasint,omitempty"`
}

// supersedes reports whether n is newer than old, a node with the same IP.
func (n *Node) supersedes(old *Node) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	return n.Seq > old.Seq
}
