package edge

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// limitReports holds the request limits of upstreams that are to be reported to the other gateways, by upstream id.
type limitReports struct {
	mu         sync.Mutex
	byUpstream map[string]float64
}

func newLimitReports() *limitReports { return &limitReports{byUpstream: make(map[string]float64)} }

func (l *limitReports) add(upstream string, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byUpstream[upstream] = perSecond
}

// drop drops a pending report that is older than what another gateway has reported.
func (l *limitReports) drop(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byUpstream, upstream)
}

// take returns the reports since the last call, or nil.
func (l *limitReports) take() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byUpstream) == 0 {
		return nil
	}
	taken := l.byUpstream
	l.byUpstream = make(map[string]float64)
	return taken
}

// TakeLimits returns the request limits of upstreams, or balancing.NoLimit, that this gateway has learnt of since the last
// call and that are to be sent to the other gateways.
func (g *Gateway) TakeLimits() map[string]float64 { return g.limits.take() }

// RecordReportedLimits records what other gateways reported with TakeLimits.
func (g *Gateway) RecordReportedLimits(reported map[string]float64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changes := 0
	for id, perSecond := range reported {
		s := g.serviceByUpstream[id]
		if s == nil {
			continue
		}
		s.mu.Lock()
		changed := s.balancer.RecordReportedLimit(id, perSecond, now)
		s.mu.Unlock()
		if changed {
			g.limits.drop(id)
			changes++
		}
	}
	if changes > 0 {
		g.cfg.Log.Info("request limits of upstreams began or ended at other gateways", zap.Int("upstreams", changes))
	}
}

// LimitedUpstreams returns the number of upstreams that name a request limit, by service.
func (g *Gateway) LimitedUpstreams() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]int, len(g.services))
	for name, s := range g.services {
		s.mu.Lock()
		counts[name] = s.balancer.LimitedUpstreams()
		s.mu.Unlock()
	}
	return counts
}

// recordLimit records the request limit that a response of an upstream names. A health response without one does not end a
// limit, since upstreams need not name it there. The caller holds mu.
func (s *service) recordLimit(upstream string, header http.Header, isHealth bool, now time.Time) {
	perSecond, ok := s.cfg.Protocol.RequestLimit(header)
	if !ok || isHealth && perSecond < 0 {
		return
	}
	changed, report := s.balancer.RecordLimit(upstream, perSecond, now)
	if report {
		s.limits.add(upstream, perSecond)
	}
	if changed {
		s.cfg.Log.Info("request limit of an upstream began or ended", zap.String("upstream", upstream), zap.String("service", s.name),
			zap.Float64("per_second", perSecond))
	}
}
