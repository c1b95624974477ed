package controlstate

import (
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/placement"
)

// GatewaysFor returns the sessions that serve a service: GatewaysPerZone in each zone by rendezvous hashing of the
// gateways' names, sorted by zone and then by falling score. Sessions that are leaving and those in stopped or unknown
// zones are left out; of several sessions of a gateway, only the newest counts. It returns nil for an unknown service.
func GatewaysFor(v *View, service string) []SessionInfo {
	s := v.Config.Service(service)
	if s == nil {
		return nil
	}
	return servingGateways(v).forService(s)
}

// gatewaySet is the gateways that can serve.
type gatewaySet struct {
	members []placement.Member
	byName  map[string]SessionInfo
}

func servingGateways(v *View) gatewaySet {
	set := gatewaySet{byName: make(map[string]SessionInfo, len(v.Sessions))}
	for _, s := range v.Sessions { // In rising order of ids, so that the newest session of a gateway stays.
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
