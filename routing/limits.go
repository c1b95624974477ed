package routing

// Limits are the limits on client requests and connections. The gateway applies only MaxBodyBytes, for which zero means its
// default. It stores the other limits and uses fixed values instead.
type Limits struct {
	MaxHeaderBytes      int   `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes        int64 `cbor:"2,keyasint,omitempty"`
	HeaderTimeoutMillis int   `cbor:"3,keyasint,omitempty"`
	IdleTimeoutMillis   int   `cbor:"4,keyasint,omitempty"`
	// Source is the operator's original text of the limits; see Route.Source.
	Source []byte `cbor:"5,keyasint,omitempty"`
}
