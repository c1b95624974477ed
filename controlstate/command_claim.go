package controlstate

// ClaimKey identifies a request that must not run twice.
type ClaimKey struct {
	Service       string `cbor:"1,keyasint"`
	ClientAccount string `cbor:"2,keyasint"`
	Key           string `cbor:"3,keyasint"`
}

// BeginClaim claims the right to run a request once.
type BeginClaim struct {
	Key        ClaimKey `cbor:"1,keyasint"`
	SessionID  uint64   `cbor:"2,keyasint"`
	UpstreamID string   `cbor:"3,keyasint"`
	Epoch      uint64   `cbor:"4,keyasint"`
	// RequestDigest covers method, path and body.
	RequestDigest []byte `cbor:"5,keyasint"`
	// KeyUnixMilli is the key's creation time, or 0 for a key without one.
	KeyUnixMilli int64 `cbor:"6,keyasint,omitempty"`
	// HorizonMillis is how long the claim is kept, in ms.
	HorizonMillis int64 `cbor:"7,keyasint"`
	// AttemptID is random for each call of Begin; a resend of the same command gets the first result.
	AttemptID string `cbor:"8,keyasint"`
}

// FinishClaim records the answer, or, without one, that the outcome is not known.
type FinishClaim struct {
	Key      ClaimKey          `cbor:"1,keyasint"`
	ClaimID  uint64            `cbor:"2,keyasint"`
	Response *RecordedResponse `cbor:"3,keyasint,omitempty"`
}

// ReleaseClaim gives a claim up. It is allowed only where no byte of the request was sent, or where the upstream stated
// that it did not start it.
type ReleaseClaim struct {
	Key     ClaimKey `cbor:"1,keyasint"`
	ClaimID uint64   `cbor:"2,keyasint"`
}
