package controlstate

import "github.com/bramleypick/bramleypick/placement"

// plan caches the assignments planned for a view.
type plan struct {
	view     *View
	commands []Command
}

// PlanAssignments returns the Assign commands that the leader should propose now, sorted by service and upstream: for
// upstreams without owner, whose owner is leaving or no longer serves the service, and to even out the counts. It returns
// none for an upstream whose hand-over is under way. AtUnixMilli is not set; the leader stamps it. The result is shared;
// callers copy a command before they change it.
func (m *Machine) PlanAssignments() []Command {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v := m.currentView(); m.plan.view != v {
		m.plan = plan{view: v, commands: planAssignments(v)}
	}
	return m.plan.commands
}

func planAssignments(v *View) []Command {
	byService := make(map[string][]*UpstreamInfo)
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		byService[u.Service] = append(byService[u.Service], u)
	}
	gateways := servingGateways(v)
	var commands []Command
	for i := range v.Config.Services {
		service := &v.Config.Services[i]
		if upstreams := byService[service.Name]; len(upstreams) > 0 {
			commands = append(commands, planService(gateways.forService(service), upstreams)...)
		}
	}
	return commands
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
