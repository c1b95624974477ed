package edge

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/balancing"
)

// recordHints records what a response of an upstream says about further requests: that it leaves, or wants a pause. The caller
// holds mu.
func (s *service) recordHints(c balancing.Candidate, resp *http.Response, now time.Time) {
	p := &s.cfg.Protocol
	if p.Leaving(resp.Header) && s.balancer.RecordLeaving(c.ID, c.Incarnation) {
		s.cfg.Log.Info("upstream says that it leaves", zap.String("upstream", c.ID), zap.String("service", s.name),
			zap.Int64("born", c.Incarnation), zap.Int("status", resp.StatusCode))
		if s.cfg.OnLeaving != nil {
			s.cfg.OnLeaving(c.ID, c.Incarnation)
		}
	}
	pause, ok := p.Pause(resp.StatusCode, resp.Header)
	if !ok {
		return
	}
	pause = min(pause, s.cfg.MaxPause)
	if s.balancer.RecordPause(c.ID, c.Incarnation, pause, now) {
		s.cfg.Log.Info("upstream asks for a pause", zap.String("upstream", c.ID), zap.String("service", s.name), zap.Duration("pause", pause))
	}
}
