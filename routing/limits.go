package routing

// Limits bound what a client may send. Zero means the default of the gateway.
type Limits struct {
	MaxHeaderBytes      int   `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes        int64 `cbor:"2,keyasint,omitempty"`
	HeaderTimeoutMillis int   `cbor:"3,keyasint,omitempty"`
	IdleTimeoutMillis   int   `cbor:"4,keyasint,omitempty"`
	// Source is the limits as the operator sent them; see Route.Source.
	Source []byte `cbor:"5,keyasint,omitempty"`
}
