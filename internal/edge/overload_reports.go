package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/overload"
)

// TakeOverload ends a report interval. It returns what this gateway has counted since the last call, by service, to be sent to the
// other gateways, or nil while no service is short of capacity. It must be called every 250 ms.
func (g *Gateway) TakeOverload(now time.Time) map[string]overload.Report {
	if !g.admits.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var reports map[string]overload.Report
	for name, s := range g.services {
		a := s.admission.Load()
		if a == nil {
			continue
		}
		if report, ok := a.take(now); ok {
			if reports == nil {
				reports = make(map[string]overload.Report)
			}
			reports[name] = report
		}
	}
	return reports
}

// RecordReportedOverload records the sums of what gateways, including this one, have reported with TakeOverload.
func (g *Gateway) RecordReportedOverload(reports map[string]overload.Report, now time.Time) {
	if !g.admits.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, report := range reports {
		s := g.services[name]
		if s == nil {
			continue
		}
		if a := s.admission.Load(); a != nil {
			a.mu.Lock()
			a.control.Merge(report, now)
			a.mu.Unlock()
		}
	}
}

func (a *admission) take(now time.Time) (overload.Report, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	report, ok := a.control.Take(now)
	if !ok && !a.logged.Limited {
		return report, false
	}
	a.show(now)
	return report, ok
}

// show updates the gauges and logs changes. The caller holds mu.
func (a *admission) show(now time.Time) {
	state := a.control.State(float64(time.Second/overloadInterval), now)
	a.showAll()
	if state.Limited {
		a.level.Update(int64(state.Level))
		a.share.Update(int64(100 * state.LevelShare))
	}
	if !state.Differs(a.logged) || now.Sub(a.loggedAt) < admissionLogInterval {
		return
	}
	a.logged, a.loggedAt = state, now
	message := "requests admitted again"
	if state.Limited {
		message = "requests shed"
	}
	a.log.Info(message, append(admissionFields(state), zap.String("service", a.service))...)
}

func admissionFields(state overload.State) []zap.Field {
	fields := []zap.Field{
		zap.Float64("capacity_ms_per_s", state.Capacity), zap.Float64("demand_ms_per_s", state.Demand),
		zap.Float64("without_room", state.RefusedShare), zap.Bool("alone", state.Alone), zap.Duration("reports_age", state.Age),
	}
	if state.Limited {
		fields = append(fields, zap.Int("admission_level", state.Level), zap.Float64("level_share", state.LevelShare),
			zap.Float64("floor", state.Floor))
	}
	return fields
}
