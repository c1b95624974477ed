package controlstate

// Assign makes a session the owner of an upstream that has no owner, or asks the present owner to hand it over. Epoch is
// the upstream's epoch as the proposer saw it.
type Assign struct {
	UpstreamID string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	SessionID  uint64 `cbor:"3,keyasint"`
}

// Release gives up an upstream: the owner sends it no more work.
type Release struct {
	UpstreamID string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	SessionID  uint64 `cbor:"3,keyasint"`
	// Remaining is how many requests of the releasing owner still run there.
	Remaining int `cbor:"4,keyasint,omitempty"`
}
