package routingstate

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/resultcode"
	"github.com/bramleypick/bramleypick/routing"
)

// Command is an entry of the replicated log. Exactly one field must be set.
type Command struct {
	Put      *routing.Config `cbor:"1,keyasint,omitempty"`
	Patch    *routing.Patch  `cbor:"2,keyasint,omitempty"`
	Evacuate *Evacuation     `cbor:"3,keyasint,omitempty"`
	// Version, StartRollout and DecideRollout are commands about the version of a service.
	Version       *ServiceVersion  `cbor:"4,keyasint,omitempty"`
	StartRollout  *RolloutOrder    `cbor:"5,keyasint,omitempty"`
	DecideRollout *RolloutDecision `cbor:"6,keyasint,omitempty"`
}

// Evacuation starts or ends the evacuation of an availability zone.
type Evacuation struct {
	Zone string `cbor:"1,keyasint"`
	End  bool   `cbor:"2,keyasint,omitempty"`
	// After is the index of the last accepted order about the zone that the process which received this order knew of. The
	// order is rejected if another one was accepted since, so that a copy that is held up on its way has no effect later. It
	// is nil in orders of earlier releases, which are always accepted.
	After *uint64 `cbor:"3,keyasint,omitempty"`
}

// Result is the outcome of a Command.
type Result struct {
	Code    resultcode.Code `cbor:"1,keyasint"`
	Message string          `cbor:"2,keyasint,omitempty"`
	// Index is the log index of the state that contains the change.
	Index uint64 `cbor:"3,keyasint,omitempty"`
	// LastOrder is the index of the last accepted order about the zone or service, if an order was rejected because of it.
	LastOrder uint64 `cbor:"4,keyasint,omitempty"`
}

// Encode returns the encoding of the command for the log.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}

// DecodeResult decodes a result of Machine.Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode result")
}
