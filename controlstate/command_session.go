package controlstate

// OpenSession opens a session for a gateway. It does not end older sessions of the same gateway: those expire.
type OpenSession struct {
	Gateway       string `cbor:"1,keyasint"`
	Zone          string `cbor:"2,keyasint"`
	CallerAddress string `cbor:"3,keyasint"`
	PeerAddress   string `cbor:"4,keyasint"`
	// OpenID is random; a resend with the same id gets the same session.
	OpenID string `cbor:"5,keyasint"`
}

// LeaveSession marks a session as leaving: it gets no new upstreams, and address answers drop it.
type LeaveSession struct {
	SessionID uint64 `cbor:"1,keyasint"`
}

// ExpireSession ends a session whose lease ran out, or that left and owns nothing.
type ExpireSession struct {
	SessionID uint64 `cbor:"1,keyasint"`
}
