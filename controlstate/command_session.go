package controlstate

// OpenSession opens a session for a gateway. Older sessions of the same gateway are not ended; they expire.
type OpenSession struct {
	Gateway       string `cbor:"1,keyasint"`
	Zone          string `cbor:"2,keyasint"`
	CallerAddress string `cbor:"3,keyasint"`
	PeerAddress   string `cbor:"4,keyasint"`
	// OpenID is random. A retry with the same id gets the same session.
	OpenID string `cbor:"5,keyasint"`
}

// LeaveSession marks a session as leaving: no upstreams are assigned to it, and address lists omit it.
type LeaveSession struct {
	SessionID uint64 `cbor:"1,keyasint"`
}

// ExpireSession ends a session whose lease expired, or that is leaving and owns no upstreams.
type ExpireSession struct {
	SessionID uint64 `cbor:"1,keyasint"`
}
