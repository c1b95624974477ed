package daemon

import (
	"context"
	"math/rand/v2"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/resultcode"
)

// callerBackend implements api.CallerBackend.
type callerBackend struct {
	view      func() *controlstate.View
	upstreams *upstreamRegistry
}

// Addresses returns the gateways of a service, those in zone first. The order is random within each group to spread
// load.
func (c callerBackend) Addresses(service, zone string) (api.AddressesResponse, error) {
	view := c.view()
	if view == nil {
		return api.AddressesResponse{}, resultcode.Errorf(resultcode.ControlUnavailable, "the gateway has no view of the control state yet")
	}
	s := view.Config.Service(service)
	if s == nil {
		return api.AddressesResponse{}, resultcode.Errorf(resultcode.UnknownService, "no service %q", service)
	}
	response := api.AddressesResponse{Service: service, Addresses: []string{}, TTLMillis: s.WithDefaults().AddressTTLMillis}
	sessions := controlstate.GatewaysFor(view, service)
	rand.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] })
	var otherZones []string
	for _, info := range sessions {
		if info.Zone == zone {
			response.Addresses = append(response.Addresses, info.CallerAddress)
		} else {
			otherZones = append(otherZones, info.CallerAddress)
		}
	}
	response.Addresses = append(response.Addresses, otherZones...)
	return response, nil
}

// Announce handles an upstream's announcement.
func (c callerBackend) Announce(ctx context.Context, id string, a api.Announcement) (api.AnnouncementResponse, error) {
	return c.upstreams.announce(ctx, id, a)
}
