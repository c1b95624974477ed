package controlstate

// Assign makes a session the owner of an upstream without owner, or starts a handover from the current owner. Epoch is the
// upstream's epoch in the proposer's view.
type Assign struct {
	UpstreamID string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	SessionID  uint64 `cbor:"3,keyasint"`
}

// Release ends the ownership of an upstream. The releasing owner sends it no further requests.
type Release struct {
	UpstreamID string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	SessionID  uint64 `cbor:"3,keyasint"`
	// Remaining is the number of requests of the releasing owner and of earlier owners that may still be in flight at the
	// upstream.
	Remaining int `cbor:"4,keyasint,omitempty"`
}
