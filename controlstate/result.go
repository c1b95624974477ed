package controlstate

import "github.com/bramleypick/bramleypick/resultcode"

// Result is what applying a command returned. Which fields are set depends on the command.
type Result struct {
	Code    resultcode.Code `cbor:"1,keyasint,omitempty"`
	Message string          `cbor:"2,keyasint,omitempty"`
	// ConfigVersion and ConfigDigest are the current ones after ApplyConfig, also on a conflict.
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
	ConfigDigest  string `cbor:"4,keyasint,omitempty"`
	// SessionID is the session that OpenSession opened.
	SessionID uint64 `cbor:"5,keyasint,omitempty"`
	// ClaimID is the claim that BeginClaim granted.
	ClaimID uint64 `cbor:"6,keyasint,omitempty"`
	// RecordedResponse is the answer of an earlier request with the same key.
	RecordedResponse *RecordedResponse `cbor:"7,keyasint,omitempty"`
	// Epoch is the upstream's epoch after Assign, Release or RegisterUpstream.
	Epoch uint64 `cbor:"8,keyasint,omitempty"`
}
