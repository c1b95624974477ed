package daemon

import (
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/internal/gateway"
)

type busyUpstream = controlproto.BusyUpstream

// busyUpstreams returns the upstreams that have requests of this gateway in flight and are either in a planned stop or
// no longer owned by this gateway.
func busyUpstreams(status gateway.Status) []busyUpstream {
	var busy []busyUpstream
	for _, service := range status.Services {
		for _, u := range service.Upstreams {
			if u.InFlight > 0 && (u.Stopping || !u.Owned) {
				busy = append(busy, busyUpstream{ID: u.ID, InFlight: u.InFlight})
			}
		}
	}
	return busy
}

// remainingRequests returns the number of requests of this gateway and of former owners that may still run at an
// upstream.
func remainingRequests(status gateway.Status, upstreamID string) int {
	for _, service := range status.Services {
		for _, u := range service.Upstreams {
			if u.ID == upstreamID {
				return u.Remaining
			}
		}
	}
	return 0
}
