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
	// Rollouts holds the last rollout of each service that had one, by service.
	Rollouts map[string]Rollout `cbor:"5,keyasint,omitempty"`
	// Versions holds the version whose upstreams get the requests of a service while no rollout is running, by service. It is
	// recorded only where operators use rollouts.
	Versions map[string]string `cbor:"6,keyasint,omitempty"`
}

// next returns a copy of the view at a later index. The caller replaces the maps that it changes.
func (v *View) next(index uint64) *View {
	next := *v
	next.Index = index
	return &next
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
