package controlstate

import (
	"net/netip"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

type upstreamTable struct {
	byID           map[string]*UpstreamInfo
	byAddress      map[string]*UpstreamInfo
	countByService map[string]int
}

func newUpstreamTable() upstreamTable {
	return upstreamTable{
		byID:           make(map[string]*UpstreamInfo),
		byAddress:      make(map[string]*UpstreamInfo),
		countByService: make(map[string]int),
	}
}

func (t *upstreamTable) add(u *UpstreamInfo) {
	t.byID[u.ID] = u
	t.byAddress[u.Address] = u
	t.countByService[u.Service]++
}

func (t *upstreamTable) remove(u *UpstreamInfo) {
	delete(t.byID, u.ID)
	delete(t.byAddress, u.Address)
	if t.countByService[u.Service]--; t.countByService[u.Service] == 0 {
		delete(t.countByService, u.Service)
	}
}

func (m *Machine) registerUpstream(c *RegisterUpstream) Result {
	t := &m.state.upstreams
	if message := c.invalidReason(); message != "" {
		return failure(resultcode.MalformedBody, "%s", message)
	}
	service := m.state.services[c.Service]
	switch {
	case service == nil:
		return failure(resultcode.UnknownService, "the configuration has no service %q", c.Service)
	case !m.state.config.HasZone(c.Zone):
		return failure(resultcode.UnknownZone, "the configuration has no availability zone %q", c.Zone)
	}
	u := t.byID[c.ID]
	if u == nil {
		return m.addUpstream(c, service.WithDefaults().MaxUpstreams)
	}
	// The service and zone of an id are fixed too. If they changed, the owner would no longer count the requests that it has
	// in flight at the upstream.
	if u.Address != c.Address || u.Service != c.Service || u.Zone != c.Zone {
		return failure(resultcode.UpstreamAddressInUse, "id %s is bound to %s in service %s and zone %s", u.ID, u.Address, u.Service, u.Zone)
	}
	m.updateUpstream(u, c)
	return Result{Epoch: u.Epoch}
}

func (m *Machine) addUpstream(c *RegisterUpstream, limit int) Result {
	t := &m.state.upstreams
	if other := t.byAddress[c.Address]; other != nil {
		return failure(resultcode.UpstreamAddressInUse, "address %s is bound to id %s", c.Address, other.ID)
	}
	if t.countByService[c.Service] >= limit {
		return failure(resultcode.UpstreamLimit, "service %s has %d upstreams, the most allowed", c.Service, limit)
	}
	u := &UpstreamInfo{
		ID: c.ID, Service: c.Service, Address: c.Address, Zone: c.Zone, BootID: c.BootID,
		Slots: c.Slots, MaxConnections: c.MaxConnections,
		// The log index is larger than all epochs of an earlier record of the same id, so commands for that record are stale.
		Epoch: m.state.index,
	}
	t.add(u)
	m.invalidateView()
	return Result{Epoch: u.Epoch}
}

func (m *Machine) updateUpstream(u *UpstreamInfo, c *RegisterUpstream) {
	if u.BootID == c.BootID && u.Slots == c.Slots && u.MaxConnections == c.MaxConnections {
		return
	}
	if u.BootID != c.BootID {
		// The requests of earlier owners ended with the process that ran them.
		u.BootID, u.Remaining, u.OwnerLost = c.BootID, 0, false
		u.ReleasedBy, u.OrphanedAtUnixMilli = nil, 0
	}
	u.Slots, u.MaxConnections = c.Slots, c.MaxConnections
	m.invalidateView()
}

// invalidReason returns why the command is invalid, or "".
func (c *RegisterUpstream) invalidReason() string {
	address, err := netip.ParseAddrPort(c.Address)
	switch {
	case !dynconfig.ValidName(c.ID):
		return "the id is not a valid name"
	case !lengthWithin(c.BootID, 1, maxIDBytes):
		return "the boot id must have 1 to 128 bytes"
	// Only the canonical form is accepted; otherwise two ids could register the same address.
	case err != nil || address.Port() == 0 || address.Addr().Is4In6() || address.Addr().Zone() != "" || address.String() != c.Address:
		return "the address must be an IP address and a port in their shortest form"
	case c.Slots < 1 || c.Slots > maxSlots:
		return "slots must be 1 to 10000"
	case c.MaxConnections < 1 || c.MaxConnections > maxConnections:
		return "max_connections must be 1 to 100000"
	}
	return ""
}

func (m *Machine) removeUpstream(c *RemoveUpstream) Result {
	u := m.state.upstreams.byID[c.ID]
	switch {
	case !m.state.sessions.exists(c.SessionID):
		return unknownSession(c.SessionID)
	case u == nil:
		return unknownUpstream(c.ID)
	case u.Owner != c.SessionID || u.BootID != c.BootID:
		return failure(resultcode.StaleEpoch, "upstream %s has another owner or boot id", u.ID)
	}
	m.state.upstreams.remove(u)
	m.invalidateView()
	return Result{}
}

// removeUnconfigured removes the upstreams that have no owner and whose service is not in the configuration.
func (m *Machine) removeUnconfigured() {
	for _, u := range m.state.upstreams.byID {
		m.removeIfUnconfigured(u)
	}
}

func (m *Machine) removeIfUnconfigured(u *UpstreamInfo) {
	if u.Owner == 0 && m.state.services[u.Service] == nil {
		m.state.upstreams.remove(u)
	}
}

func unknownUpstream(id string) Result {
	return failure(resultcode.UnknownUpstream, "no upstream has the id %+q", id)
}
