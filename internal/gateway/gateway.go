// Package gateway is the data path.
package gateway

import (
	"context"
	"net/http"

	"github.com/bramleypick/bramleypick/controlstate"
)

// Gateway serves requests.
type Gateway struct{}

// New returns a gateway.
func New(cfg Config, deps Dependencies) (*Gateway, error) { return &Gateway{}, nil }

// ServeHTTP serves a request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {}

// SetView puts a view in force.
func (g *Gateway) SetView(v *controlstate.View) {}

// SetPeerLoad records a peer's report of its free slots of a service.
func (g *Gateway) SetPeerLoad(service string, sessionID uint64, freeSlots int) {}

// Status returns what the gateway holds now.
func (g *Gateway) Status() Status { return Status{} }

// Shutdown refuses new requests and waits for those in flight.
func (g *Gateway) Shutdown(ctx context.Context) error { return nil }
