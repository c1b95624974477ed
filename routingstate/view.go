package routingstate

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/routing"
)

// View is the state at one log index. It is immutable and shared.
type View struct {
	// Index is the log index of the last command that changed the state, or 0 if there is none.
	Index uint64 `cbor:"1,keyasint"`
	// Config is nil until the first configuration is accepted.
	Config *routing.Config `cbor:"2,keyasint,omitempty"`
	// Evacuated holds the evacuated zones. Their upstreams get no requests.
	Evacuated map[string]bool `cbor:"3,keyasint,omitempty"`
	// LastOrders holds, for each zone, the log index of the last accepted Evacuation with a value of After.
	LastOrders map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// Encode returns the encoding of the view.
func (v *View) Encode() ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, errors.Wrap(err, "encode view")
}

// DecodeView decodes a view encoded by View.Encode.
func DecodeView(data []byte) (*View, error) {
	v := new(View)
	if err := cbor.Unmarshal(data, v); err != nil {
		return nil, errors.Wrap(err, "decode view")
	}
	return v, nil
}
