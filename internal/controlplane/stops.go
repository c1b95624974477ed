package controlplane

import (
	"fmt"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/controlproto"
)

// clockTolerance covers the difference between the wall clocks of two leaders, where one recorded the loss of a gateway and the
// next one judges how long ago that was.
const clockTolerance = 2 * time.Second

// stopReports tells for each planned stop what it still waits for. "Stopped" means that no gateway, reachable or not, can have
// work at the stopped upstreams: each live session confirmed the configuration and has nothing in flight there, and each
// session that was lost has been gone for longer than its requests may run.
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
	return append(waiting, orphanWaits(view, affected, now)...)
}

// orphanWaits lists the affected upstreams where requests of a gateway that was lost may still run.
func orphanWaits(view *controlstate.View, affected map[string]bool, now time.Time) []string {
	var waiting []string
	for _, u := range view.Upstreams {
		if !affected[u.ID] || u.OrphanedAtUnixMilli == 0 {
			continue
		}
		until := time.UnixMilli(u.OrphanedAtUnixMilli).Add(longestTimeout(view, u.Service) + clockTolerance)
		if left := until.Sub(now); left > 0 {
			waiting = append(waiting, fmt.Sprintf("requests of a gateway that was lost may run at upstream %s for another %v", u.ID, left.Round(time.Second)))
		}
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

// longestTimeout returns the longest class timeout of a service: none of its requests runs longer.
func longestTimeout(view *controlstate.View, name string) time.Duration {
	service := view.Config.Service(name)
	if service == nil {
		return dynconfig.DefaultTimeoutMillis * time.Millisecond
	}
	longest := 0
	for _, class := range service.WithDefaults().Classes {
		longest = max(longest, class.TimeoutMillis)
	}
	return time.Duration(longest) * time.Millisecond
}
