package controlstate

// ApplyConfig replaces the configuration if BaseVersion is the current version. The first configuration has base 0.
type ApplyConfig struct {
	BaseVersion uint64 `cbor:"1,keyasint"`
	// ChangeID is chosen by the operator's client; a resend with the same id gets the first result.
	ChangeID string `cbor:"2,keyasint"`
	// JSON is the canonical encoding of a dynconfig.Config.
	JSON []byte `cbor:"3,keyasint"`
}
