package controlstate

import "github.com/bramleypick/bramleypick/dynconfig"

// ApplyConfig replaces the configuration if BaseVersion is the current version. The first configuration has base 0.
type ApplyConfig struct {
	BaseVersion uint64 `cbor:"1,keyasint"`
	// ChangeID is chosen by the operator's client. A retry with the same id gets the result of the first attempt.
	ChangeID string `cbor:"2,keyasint"`
	// JSON is the canonical encoding of a dynconfig.Config.
	JSON []byte `cbor:"3,keyasint"`
}

// EditStop adds a planned stop to the current configuration or removes one. It has no base version, so that concurrent stops
// of different availability zones by two operators both succeed.
type EditStop struct {
	// ChangeID is chosen by the operator's client. A retry with the same id gets the result of the first attempt, even if
	// the stop was reverted in between.
	ChangeID string         `cbor:"1,keyasint"`
	Stop     dynconfig.Stop `cbor:"2,keyasint"`
	Remove   bool           `cbor:"3,keyasint,omitempty"`
}
