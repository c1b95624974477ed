package gateway

import (
	"slices"
	"strings"
)

// Status is the current state of the gateway. Planned stops and handovers use it.
type Status struct {
	// ViewIndex and ConfigVersion are those of this gateway's current view.
	ViewIndex     uint64
	ConfigVersion uint64
	// Requests is the number of requests being served.
	Requests int
	Services []ServiceStatus // Sorted by name.
}

// ServiceStatus is the state of one service.
type ServiceStatus struct {
	Name   string
	Queued int
	// FreeSlots is how many more requests the owned upstreams could take now, beyond those that are queued here.
	FreeSlots int
	Upstreams []UpstreamStatus // Sorted by ID: the owned ones, and those no longer owned that still run requests.
}

// UpstreamStatus is the state of one upstream.
type UpstreamStatus struct {
	ID       string
	Epoch    uint64
	Owned    bool
	Stopping bool
	// MovingTo is the session that is to take over the upstream, or 0.
	MovingTo uint64
	// InFlight is how many requests of this gateway are in flight on the upstream.
	InFlight int
	// Remaining is how many requests of this gateway and of former owners may be running on the upstream. A release
	// must report this number, so that the next owner counts all of them.
	Remaining int
	// Limit is how many requests of this gateway may currently be in flight on the upstream, without the over-allowance.
	Limit int
	Cold  bool
	// Ejected is true while the upstream is excluded because of its failures.
	Ejected bool
}

// FreeSlots is how many requests from peers a service could start.
type FreeSlots struct {
	Service string
	Free    int
}

// FreeSlots returns the free slots of all services as of their last poll, without a request to their schedulers. The
// number of a service is updated only while other sessions own upstreams of it.
func (g *Gateway) FreeSlots() []FreeSlots {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	freeSlots := make([]FreeSlots, 0, len(g.services))
	for name, s := range g.services {
		freeSlots = append(freeSlots, FreeSlots{Service: name, Free: int(s.lastFreeSlots.Load())})
	}
	return freeSlots
}

// Status returns the current state of the gateway. It also applies a changed session, so it should be called about
// once per second.
func (g *Gateway) Status() Status {
	g.applySessionChange()
	view := g.snapshot.Load().view
	status := Status{ViewIndex: view.Index, ConfigVersion: view.ConfigVersion}
	g.mu.Lock()
	status.Requests = g.requests
	g.mu.Unlock()
	g.viewMu.Lock()
	services := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		services = append(services, s)
	}
	g.viewMu.Unlock()
	slices.SortFunc(services, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	for _, s := range services {
		reply := make(chan ServiceStatus, 1)
		if !s.send(event{kind: eventStatus, status: reply}) {
			continue
		}
		select {
		case serviceStatus := <-reply:
			slices.SortFunc(serviceStatus.Upstreams, func(a, b UpstreamStatus) int { return strings.Compare(a.ID, b.ID) })
			status.Services = append(status.Services, serviceStatus)
		case <-s.stop:
		}
	}
	return status
}
