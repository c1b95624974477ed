package quota

// Request is what a gateway asks the owner for, for all accounts that need something.
type Request struct {
	// Gateway names the gateway and Incarnation its process.
	Gateway     string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Seq numbers the requests of the process. Acked is the highest Seq that a received grant responds to.
	Seq   uint64 `cbor:"3,keyasint"`
	Acked uint64 `cbor:"4,keyasint,omitempty"`
	// Term is the term of the last grant; zero if there was none.
	Term  uint64        `cbor:"5,keyasint,omitempty"`
	Items []RequestItem `cbor:"6,keyasint,omitempty"`
}

// RequestItem is the part of a request about one account. Used, Unused and Received count from the start of the process, so that a
// lost or repeated request does no harm.
type RequestItem struct {
	Account string `cbor:"1,keyasint"`
	// Need is the number of tokens for requests that wait, Spare those wanted for requests to come.
	Need  uint32 `cbor:"2,keyasint,omitempty"`
	Spare uint32 `cbor:"3,keyasint,omitempty"`
	// Arrived is the number of requests that arrived since the last request.
	Arrived uint32 `cbor:"4,keyasint,omitempty"`
	// Share is the part of the rate that the gateway uses when it is alone. Allotted is the part that all gateways had together,
	// according to the last grant. Term is the term of that grant.
	Share    float32 `cbor:"5,keyasint,omitempty"`
	Allotted float32 `cbor:"6,keyasint,omitempty"`
	// Used is the number of requests admitted without a token of an owner.
	Used uint64 `cbor:"7,keyasint,omitempty"`
	// Unused is the number of granted tokens that the gateway did not use in time.
	Unused uint64 `cbor:"8,keyasint,omitempty"`
	// Return is what the gateway has left of what it may use alone. It is set if the last request was not responded to or Term is an
	// earlier term. The owner that gave it returns no more to the bucket than it has withheld.
	Return float32 `cbor:"9,keyasint,omitempty"`
	Term   uint64  `cbor:"10,keyasint,omitempty"`
	// Received is the number of tokens that the gateway has received. Tokens on their way are not granted a second time when a request
	// is repeated.
	Received uint64 `cbor:"12,keyasint,omitempty"`
	// AgeMillis is the age of that grant in ms. It is set with Return.
	AgeMillis uint32 `cbor:"11,keyasint,omitempty"`
}
