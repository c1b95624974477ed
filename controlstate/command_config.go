package controlstate

import "github.com/bramleypick/bramleypick/dynconfig"

// ApplyConfig replaces the configuration if BaseVersion is the current version. The first configuration has base 0.
type ApplyConfig struct {
	BaseVersion uint64 `cbor:"1,keyasint"`
	// ChangeID is chosen by the operator's client; a resend with the same id gets the first result.
	ChangeID string `cbor:"2,keyasint"`
	// JSON is the canonical encoding of a dynconfig.Config.
	JSON []byte `cbor:"3,keyasint"`
}

// EditStop adds a planned stop to the current configuration or removes one, whatever the version: two operators who stop
// different zones at once both succeed.
type EditStop struct {
	// ChangeID is chosen by the operator's client; a resend with the same id gets the first result, also after the stop was
	// undone in between.
	ChangeID string         `cbor:"1,keyasint"`
	Stop     dynconfig.Stop `cbor:"2,keyasint"`
	Remove   bool           `cbor:"3,keyasint,omitempty"`
}
