package quota

// Grant is the response to a Request.
type Grant struct {
	// Term is the owner's. Seq is that of the request.
	Term  uint64      `cbor:"1,keyasint"`
	Seq   uint64      `cbor:"2,keyasint"`
	Items []GrantItem `cbor:"3,keyasint,omitempty"`
}

// GrantItem is the part of a grant about one account.
type GrantItem struct {
	Account string `cbor:"1,keyasint"`
	Tokens  uint32 `cbor:"2,keyasint,omitempty"`
	// Share and Allotted are as in RequestItem.
	Share    float32 `cbor:"3,keyasint,omitempty"`
	Allotted float32 `cbor:"4,keyasint,omitempty"`
	// Reserve is the number of requests that the gateway may admit at once when it is alone, in addition to Share.
	Reserve float32 `cbor:"5,keyasint,omitempty"`
	// WaitMillis is the time in ms after which the gateway is to ask again. It is set if there are fewer tokens than needed.
	// TokenMillis is the time in ms until the bucket has a token again, which may be longer.
	WaitMillis  uint32 `cbor:"6,keyasint,omitempty"`
	TokenMillis uint32 `cbor:"10,keyasint,omitempty"`
	// Hold is set if requests are to wait for that time instead of being refused.
	Hold bool `cbor:"8,keyasint,omitempty"`
	// Renewal is set if the request did not name the account.
	Renewal bool `cbor:"9,keyasint,omitempty"`
	// Unlimited is set if the owner knows no limit of the account. The configuration of the gateway is another one then.
	Unlimited bool `cbor:"7,keyasint,omitempty"`
}
