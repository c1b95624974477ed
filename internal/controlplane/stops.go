package controlplane

import (
	"fmt"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/controlproto"
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
	affected := affectedUpstreams(view, stop)
	if len(affected) == 0 {
		return nil
	}
	var waiting []string
	for _, info := range view.Sessions {
		conf, ok := s.confirmations.session(info.SessionID)
		if !ok || conf.configVersion < view.ConfigVersion {
			waiting = append(waiting, fmt.Sprintf("gateway %s has not confirmed configuration version %d", info.Gateway, view.ConfigVersion))
			continue
		}
		for _, busy := range conf.busy {
			if affected[busy.ID] {
				waiting = append(waiting, fmt.Sprintf("gateway %s has %d requests in flight at upstream %s", info.Gateway, busy.InFlight, busy.ID))
			}
		}
	}
	return append(waiting, s.endedSessionsWaits(longestTimeout(view, affected), now)...)
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

func affectedUpstreams(view *controlstate.View, stop dynconfig.Stop) map[string]bool {
	affected := make(map[string]bool)
	for _, u := range view.Upstreams {
		if (stop.Zone != "" && u.Zone == stop.Zone) || (stop.Upstream != "" && u.ID == stop.Upstream) {
			affected[u.ID] = true
		}
	}
	return affected
}

// longestTimeout returns the longest class timeout of the services that the upstreams belong to: no request runs longer.
func longestTimeout(view *controlstate.View, affected map[string]bool) time.Duration {
	longest := 0
	for _, u := range view.Upstreams {
		service := view.Config.Service(u.Service)
		if !affected[u.ID] || service == nil {
			continue
		}
		for _, class := range service.WithDefaults().Classes {
			longest = max(longest, class.TimeoutMillis)
		}
	}
	return time.Duration(longest) * time.Millisecond
}
