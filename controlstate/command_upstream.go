package controlstate

// RegisterUpstream adds an upstream, or records its new boot id.
type RegisterUpstream struct {
	ID             string `cbor:"1,keyasint"`
	Service        string `cbor:"2,keyasint"`
	Address        string `cbor:"3,keyasint"`
	Zone           string `cbor:"4,keyasint"`
	BootID         string `cbor:"5,keyasint"`
	Slots          int    `cbor:"6,keyasint"`
	MaxConnections int    `cbor:"7,keyasint"`
}

// RemoveUpstream removes an upstream that stopped announcing itself. Only its owner may, and only for the boot id it saw.
type RemoveUpstream struct {
	ID        string `cbor:"1,keyasint"`
	BootID    string `cbor:"2,keyasint"`
	SessionID uint64 `cbor:"3,keyasint"`
}
