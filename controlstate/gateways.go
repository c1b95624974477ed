package controlstate

import (
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/placement"
)

// GatewaysFor returns the sessions that serve a service: GatewaysPerZone in each zone, selected by rendezvous hashing of the
// gateways' names and sorted by zone and then by descending score. It excludes sessions that are leaving, sessions in
// stopped or unknown zones, and all but the newest session of each gateway. It returns nil for an unknown service.
func GatewaysFor(v *View, service string) []SessionInfo {
	s := v.Config.Service(service)
	if s == nil {
		return nil
	}
	return servingGateways(v).forService(s)
}

// gatewaySet holds the gateways that can serve, and the newest session of each gateway by its name.
type gatewaySet struct {
	members []placement.Member
	byName  map[string]SessionInfo
}

func servingGateways(v *View) gatewaySet {
	set := gatewaySet{byName: make(map[string]SessionInfo, len(v.Sessions))}
	for _, s := range v.Sessions { // Sorted by id, so that the newest session of a gateway is kept.
		set.byName[s.Gateway] = s
	}
	for _, s := range v.Sessions {
		newest := set.byName[s.Gateway].SessionID == s.SessionID
		if newest && !s.Leaving && v.Config.HasZone(s.Zone) && !v.Config.ZoneStopped(s.Zone) {
			set.members = append(set.members, placement.Member{Name: s.Gateway, Zone: s.Zone})
		}
	}
	return set
}

func (g gatewaySet) forService(s *dynconfig.Service) []SessionInfo {
	var sessions []SessionInfo
	for _, member := range placement.Select(s.Name, g.members, s.WithDefaults().GatewaysPerZone) {
		sessions = append(sessions, g.byName[member.Name])
	}
	return sessions
}
