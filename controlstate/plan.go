package controlstate

import (
	"slices"

	"github.com/bramleypick/bramleypick/placement"
)

// plan caches the assignments planned for a view and the gateways of each service, which change less often than the view.
type plan struct {
	view     *View
	gateways map[string][]SessionInfo
	commands []Command
}

// PlanAssignments returns the Assign commands that the leader should propose now, sorted by service and upstream. They assign
// upstreams that have no owner, or whose owner is leaving or no longer serves the service, and they balance the number of
// upstreams of each gateway. An upstream with a handover in progress gets no command.
//
// The commands have no AtUnixMilli; the leader sets it. The result is shared: callers must copy a command before they change
// it. The plan is computed without holding the lock, so that it does not delay Apply.
func (m *Machine) PlanAssignments() []Command {
	m.mu.Lock()
	v, last := m.currentView(), m.plan
	m.mu.Unlock()
	if last.view == v {
		return last.commands
	}
	next := makePlan(v, last)
	m.mu.Lock()
	m.plan = next
	m.mu.Unlock()
	return next.commands
}

func makePlan(v *View, last plan) plan {
	next := plan{view: v, gateways: last.gateways}
	if last.view == nil || last.view.ConfigVersion != v.ConfigVersion || !slices.Equal(last.view.Sessions, v.Sessions) {
		next.gateways = gatewaysByService(v)
	}
	byService := make(map[string][]*UpstreamInfo)
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		byService[u.Service] = append(byService[u.Service], u)
	}
	for i := range v.Config.Services {
		name := v.Config.Services[i].Name
		if upstreams := byService[name]; len(upstreams) > 0 {
			next.commands = append(next.commands, planService(next.gateways[name], upstreams)...)
		}
	}
	return next
}

func gatewaysByService(v *View) map[string][]SessionInfo {
	set := servingGateways(v)
	gateways := make(map[string][]SessionInfo, len(v.Config.Services))
	for i := range v.Config.Services {
		s := &v.Config.Services[i]
		gateways[s.Name] = set.forService(s)
	}
	return gateways
}

func planService(sessions []SessionInfo, upstreams []*UpstreamInfo) []Command {
	members := make([]placement.Member, len(sessions))
	byName := make(map[string]uint64, len(sessions))
	byID := make(map[uint64]string, len(sessions))
	for i, s := range sessions {
		members[i] = placement.Member{Name: s.Gateway, Zone: s.Zone}
		byName[s.Gateway] = s.SessionID
		byID[s.SessionID] = s.Gateway
	}
	items := make([]placement.Item, len(upstreams))
	for i, u := range upstreams {
		items[i] = placement.Item{Name: u.ID, Zone: u.Zone, Owner: byID[u.Owner]}
		if u.MovingTo != 0 {
			items[i].Owner, items[i].Fixed = byID[u.MovingTo], true
		}
	}
	owners := placement.Balance(members, items)
	var commands []Command
	for _, u := range upstreams {
		to := byName[owners[u.ID]]
		if to == 0 || to == u.Owner || u.MovingTo != 0 {
			continue
		}
		commands = append(commands, Command{
			Kind:   KindAssign,
			Assign: &Assign{UpstreamID: u.ID, Epoch: u.Epoch, SessionID: to},
		})
	}
	return commands
}
