package controlplane

import (
	"fmt"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/lease"
)

// stopReports tells for each planned stop what it still waits for. "Stopped" means that no gateway, reachable or not, can have
// work at the stopped upstreams: each live session confirmed the configuration and has nothing in flight there, and each
// session that ended has been gone for longer than a request may take.
func (s *Server) stopReports(view *controlstate.View, now time.Time) []controlproto.StopReport {
	var reports []controlproto.StopReport
	for _, stop := range view.Config.Stops {
		waiting := s.stopWaitsFor(view, stop, now)
		reports = append(reports, controlproto.StopReport{
			Zone: stop.Zone, Upstream: stop.Upstream, Stopped: len(waiting) == 0, WaitingFor: waiting,
		})
	}
	return reports
}

func (s *Server) stopWaitsFor(view *controlstate.View, stop dynconfig.Stop, now time.Time) []string {
	var waiting []string
	for _, info := range view.Sessions {
		conf, ok := s.confirmations.session(info.SessionID)
		if !ok || conf.configVersion < view.ConfigVersion {
			waiting = append(waiting, fmt.Sprintf("gateway %s has not confirmed configuration version %d", info.Gateway, view.ConfigVersion))
			continue
		}
		for _, busy := range conf.busy {
			if affects(view, stop, busy.ID) {
				waiting = append(waiting, fmt.Sprintf("gateway %s has %d requests in flight at upstream %s", info.Gateway, busy.InFlight, busy.ID))
			}
		}
	}
	return append(waiting, s.endedSessionsWaits(longestTimeout(view, stop), now)...)
}

func (s *Server) endedSessionsWaits(longest time.Duration, now time.Time) []string {
	var waiting []string
	gateways, incomplete := s.confirmations.endedSince(now.Add(-longest))
	for _, g := range gateways {
		waiting = append(waiting, fmt.Sprintf("a session of gateway %s ended less than %v ago; its requests may still run", g, longest))
	}
	if incomplete {
		waiting = append(waiting, fmt.Sprintf("the leader was elected less than %v ago and does not know which sessions ended before", longest))
	}
	return waiting
}

// affects tells whether requests at an upstream delay the stop. An upstream that stopped announcing itself is no longer in
// the state, while requests may still run there; its zone is not known, so every stop of a zone waits for it.
func affects(view *controlstate.View, stop dynconfig.Stop, upstreamID string) bool {
	if stop.Upstream != "" {
		return upstreamID == stop.Upstream
	}
	u := view.Upstream(upstreamID)
	return u == nil || u.Zone == stop.Zone
}

// longestTimeout returns the longest class timeout of the services that may have requests at the stopped upstreams: that of
// the upstream's service where it is known, of all services otherwise. It is lengthened by the largest error of a clock.
func longestTimeout(view *controlstate.View, stop dynconfig.Stop) time.Duration {
	service := ""
	if u := view.Upstream(stop.Upstream); u != nil && view.Config.Service(u.Service) != nil {
		service = u.Service
	}
	longest := 0
	for i := range view.Config.Services {
		s := &view.Config.Services[i]
		if service != "" && s.Name != service {
			continue
		}
		for _, class := range s.WithDefaults().Classes {
			longest = max(longest, class.TimeoutMillis)
		}
	}
	d := time.Duration(longest) * time.Millisecond
	return d + d*lease.MaxClockRateErrorPercent/100
}
