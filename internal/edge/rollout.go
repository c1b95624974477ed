package edge

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/rollout"
	"github.com/bramleypick/bramleypick/routingstate"
)

// rolloutInForce is the log message about a step of a rollout that this gateway applies from now on.
const rolloutInForce = "rollout step in force"

// serviceRollout is the running rollout of a service in one gateway.
type serviceRollout struct {
	routingstate.Rollout
	counter *rollout.Counter
	// newAttempts counts the attempts at the new version.
	newAttempts metrics.Counter
}

// setRollout sets the running rollout; nil means that none is running. The upstreams must be updated afterwards.
func (s *service) setRollout(r *routingstate.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r == nil:
		if s.rollout != nil {
			s.cfg.Log.Info(rolloutInForce, zap.String("service", s.name), zap.String("version", s.rollout.Target), zap.Bool("running", false))
		}
		s.rollout = nil
		return
	case s.rollout == nil || s.rollout.Order != r.Order:
		s.rollout = &serviceRollout{
			Rollout: *r, counter: rollout.NewCounter(r.Order),
			newAttempts: metrics.GetOrRegisterCounter(s.name+".rollout_new_attempts", s.cfg.Metrics.Registry),
		}
	case s.rollout.Step == r.Step:
		return
	default:
		s.rollout.Rollout = *r
	}
	s.cfg.Log.Info(rolloutInForce, zap.String("service", s.name), zap.String("version", r.Target), zap.Bool("running", true),
		zap.Float64("share", r.Share), zap.Any("route_shares", r.RouteShares), zap.Uint64("step", r.Step))
}

// version returns the version whose upstreams an attempt may use, or zero if all may be used. Further attempts of a request use
// the old version until the new one gets everything: they add nothing to the exposure, and help a request that the new version
// failed.
func (s *service) version(route string, attempts int) rollout.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.rollout == nil:
		return 0
	case s.rollout.Share >= 1:
		return rollout.New
	case attempts > 0:
		return rollout.Old
	case rand.Float64() < s.rollout.RouteShare(route):
		return rollout.New
	}
	return rollout.Old
}

// fallback returns the version to use after no upstream of the given one could be selected: the old one, if it still gets requests.
// The rollout may have proceeded since the version was chosen.
func (s *service) fallback(v rollout.Version) rollout.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.rollout == nil:
		return 0
	case s.rollout.Share >= 1:
		return rollout.New
	}
	return rollout.Old
}

// track counts an attempt that is being sent. It returns nil if no rollout is running. The caller holds mu.
func (s *service) track(r balancing.Requirements, c balancing.Candidate, now time.Time) *rollout.Attempt {
	if s.rollout == nil {
		return nil
	}
	counter := s.rollout.counter
	if len(r.Exclude) == 0 { // the first attempt
		counter.Request(r.Route)
	}
	if rollout.Version(c.Version) == rollout.New {
		s.rollout.newAttempts.Inc(1)
	}
	speed := rollout.UnknownSpeed
	switch {
	case c.Cold:
		speed = rollout.Cold
	case c.NormalSpeed:
		speed = rollout.NormalSpeed
	}
	return counter.Begin(r.Route, rollout.Version(c.Version), c.ID, speed, now)
}

// rolloutAttempt is an attempt that counts for a rollout. Its connection is in use until it has both ended and been discarded,
// since the rest of a long response is read after the attempt has ended. The service's mu guards it.
type rolloutAttempt struct {
	*rollout.Attempt
	service                *service
	hasEnded, hasDiscarded bool
}

// ended records the result of the attempt; a nil attempt counts for no rollout. The caller holds mu.
func (a *rolloutAttempt) ended(outcome balancing.Outcome, now time.Time) {
	if a == nil {
		return
	}
	result := rollout.Cancelled
	switch outcome {
	case balancing.Succeeded:
		result = rollout.Succeeded
	case balancing.Failed, balancing.Unreachable:
		result = rollout.Failed
	case balancing.Shed:
		result = rollout.Refused
	}
	a.End(result, now)
	a.hasEnded = true
	if a.hasDiscarded {
		a.Release()
	}
}

// discarded records that the response is no longer needed. It may be called several times.
func (a *rolloutAttempt) discarded() {
	a.service.mu.Lock()
	defer a.service.mu.Unlock()
	if a.hasEnded && !a.hasDiscarded {
		a.Release()
	}
	a.hasDiscarded = true
}

// RolloutReport returns what this gateway has counted for the running rollouts, or nil if there are none. The caller identifies the
// gateway and numbers the reports.
func (g *Gateway) RolloutReport(now time.Time) *rollout.Report {
	if !g.cfg.Rollouts {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var report *rollout.Report
	for name, s := range g.services {
		s.mu.Lock()
		if s.rollout != nil {
			if report == nil {
				report = &rollout.Report{Applied: g.view.Index, Services: make(map[string]rollout.ServiceReport)}
			}
			report.Services[name] = s.rollout.counter.Report(now)
		}
		s.mu.Unlock()
	}
	return report
}
