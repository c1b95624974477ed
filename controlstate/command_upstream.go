package controlstate

// RegisterUpstream adds an upstream, or updates its boot id and limits. BootID changes with each start of the upstream's
// process. Slots is the number of requests that the upstream runs concurrently, and MaxConnections the number of connections
// that it accepts; both must be at least 1.
type RegisterUpstream struct {
	ID             string `cbor:"1,keyasint"`
	Service        string `cbor:"2,keyasint"`
	Address        string `cbor:"3,keyasint"`
	Zone           string `cbor:"4,keyasint"`
	BootID         string `cbor:"5,keyasint"`
	Slots          int    `cbor:"6,keyasint"`
	MaxConnections int    `cbor:"7,keyasint"`
}

// RemoveUpstream removes an upstream that stopped announcing itself. It is accepted only from the owner, and only while the
// upstream's boot id is BootID.
type RemoveUpstream struct {
	ID        string `cbor:"1,keyasint"`
	BootID    string `cbor:"2,keyasint"`
	SessionID uint64 `cbor:"3,keyasint"`
}
