package controlplane

import (
	"fmt"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/lease"
)

// wallClockTolerance covers the difference between the wall clocks of two leaders: one records when a gateway was lost, and
// a later one computes how long ago that was.
const wallClockTolerance = 2 * time.Second

// stopReports lists what each planned stop still waits for. A stop is reported as stopped only if no gateway, reachable or
// not, can have requests at the stopped upstreams: each live session has confirmed the configuration and has no request in
// flight there, and each expired session ended longer ago than its requests can run. The owner of an upstream removes it from
// the state only once no request of its own or of a former owner may still run there.
func (s *Server) stopReports(view *controlstate.View, now time.Time) []controlproto.StopReport {
	var reports []controlproto.StopReport
	for _, stop := range view.Config.Stops {
		blockers := s.stopBlockers(view, stop, now)
		reports = append(reports, controlproto.StopReport{
			Zone: stop.Zone, Upstream: stop.Upstream, Stopped: len(blockers) == 0, WaitingFor: blockers,
		})
	}
	return reports
}

// stopBlockers describes, one text each, what the stop still waits for.
func (s *Server) stopBlockers(view *controlstate.View, stop dynconfig.Stop, now time.Time) []string {
	var blockers []string
	for _, info := range view.Sessions {
		record, ok := s.renewals.lookup(info.SessionID)
		if !ok || record.configVersion < view.ConfigVersion {
			blockers = append(blockers, fmt.Sprintf("gateway %s has not confirmed configuration version %d", info.Gateway, view.ConfigVersion))
			continue
		}
		for _, busy := range record.busy {
			if delaysStop(view, stop, busy.ID) {
				blockers = append(blockers, fmt.Sprintf("gateway %s has %d requests in flight at upstream %s", info.Gateway, busy.InFlight, busy.ID))
			}
		}
	}
	return append(blockers, orphanBlockers(view, stop, now)...)
}

// orphanBlockers describes the stop's upstreams at which requests of a lost gateway may still run.
func orphanBlockers(view *controlstate.View, stop dynconfig.Stop, now time.Time) []string {
	var blockers []string
	for _, u := range view.Upstreams {
		if u.OrphanedAtUnixMilli == 0 || !delaysStop(view, stop, u.ID) {
			continue
		}
		deadline := time.UnixMilli(u.OrphanedAtUnixMilli).Add(maxRequestDuration(view, u.Service) + wallClockTolerance)
		if remaining := deadline.Sub(now); remaining > 0 {
			blockers = append(blockers, fmt.Sprintf("requests of a gateway that was lost may run at upstream %s for another %v", u.ID, remaining.Round(time.Second)))
		}
	}
	return blockers
}

// delaysStop reports whether requests at an upstream delay the stop. A gateway may still report requests in flight at an
// upstream that was removed from the state, for example because its service is no longer configured. The availability zone
// of that upstream is unknown, so every stop of a zone waits for it.
func delaysStop(view *controlstate.View, stop dynconfig.Stop, upstreamID string) bool {
	if stop.Upstream != "" {
		return upstreamID == stop.Upstream
	}
	u := view.Upstream(upstreamID)
	return u == nil || u.Zone == stop.Zone
}

// maxRequestDuration returns the longest time that a request of a service can run: its longest class timeout plus the
// maximum clock rate error. For a service that is no longer configured it uses the longest class timeout of all services.
func maxRequestDuration(view *controlstate.View, serviceName string) time.Duration {
	longest := dynconfig.DefaultTimeoutMillis
	if service := view.Config.Service(serviceName); service != nil {
		longest = maxClassTimeoutMillis(service)
	} else {
		for i := range view.Config.Services {
			longest = max(longest, maxClassTimeoutMillis(&view.Config.Services[i]))
		}
	}
	d := time.Duration(longest) * time.Millisecond
	return d + d*lease.MaxClockRateErrorPercent/100
}

// maxClassTimeoutMillis returns the longest class timeout of a service, in ms.
func maxClassTimeoutMillis(service *dynconfig.Service) int {
	longest := 0
	for _, class := range service.WithDefaults().Classes {
		longest = max(longest, class.TimeoutMillis)
	}
	return longest
}
