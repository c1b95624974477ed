package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/resultcode"
	"github.com/bramleypick/bramleypick/rollout"
	"github.com/bramleypick/bramleypick/routing"
	"github.com/bramleypick/bramleypick/routingstate"
)

// rolloutInterval is the time between two decisions of the leader, and between two messages of another replica to it. Gateways
// report as often.
const rolloutInterval = 250 * time.Millisecond

// rolloutLeader decides about rollouts while this process runs the leader.
type rolloutLeader struct {
	cluster *Cluster
	config  rollout.Config
	watches map[string]*rolloutWatch // by service
}

// runRollouts decides about rollouts while this process runs the leader, and forwards the gateways' reports otherwise, until ctx
// ends. It does nothing where there are no rollouts.
func (c *Cluster) runRollouts(ctx context.Context) {
	if c.cfg.Rollouts == nil {
		return
	}
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	leader := rolloutLeader{cluster: c, config: *c.cfg.Rollouts}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r := c.runningReplica()
		if r == nil {
			leader.watches = nil
			continue
		}
		status := r.node.Status()
		if status.Role != replog.RoleLeader {
			leader.watches = nil
			c.forwardRollouts(uint64(status.Leader))
			continue
		}
		leader.run(ctx, r, time.Now())
	}
}

func (l *rolloutLeader) run(ctx context.Context, r *replica, now time.Time) {
	c, view := l.cluster, r.machine.View()
	reports := c.rollouts.take()
	var upstreams []registry.Entry
	if isRunning(view) || hasUnrecorded(view) {
		upstreams = c.registry.All(now)
	}
	l.recordVersions(ctx, r, view, upstreams)
	watches := make(map[string]*rolloutWatch)
	for _, service := range slices.Sorted(maps.Keys(view.Rollouts)) {
		current := view.Rollouts[service]
		if current.State != routingstate.RolloutRunning {
			continue
		}
		w := l.watches[service]
		if w == nil || w.order != current.Order {
			w = newRolloutWatch(current, now)
		}
		watches[service] = w
		for i := range reports {
			w.evidence.Record(&reports[i], service, now)
		}
		state := w.state(service, current, view, c.nodes.Alive(), upstreams, now)
		if d := l.config.Decide(state, w.evidence); d.Action != rollout.Continue {
			l.submit(ctx, r, service, current, state, d, w.evidence)
		}
	}
	l.watches = watches
}

func isRunning(view *routingstate.View) bool {
	for _, r := range view.Rollouts {
		if r.State == routingstate.RolloutRunning {
			return true
		}
	}
	return false
}

// hasUnrecorded reports whether the version of a service is not recorded.
func hasUnrecorded(view *routingstate.View) bool {
	return view.Config != nil && slices.ContainsFunc(view.Config.Services, func(s routing.Service) bool {
		_, known := view.Versions[s.Name]
		return !known
	})
}

var rolloutStates = map[rollout.Action]routingstate.RolloutState{
	rollout.Step: routingstate.RolloutRunning, rollout.Complete: routingstate.RolloutCompleted,
	rollout.RollBack: routingstate.RolloutRolledBack,
}

// submit commits a decision. If it is not committed, the next call of run decides again.
func (l *rolloutLeader) submit(
	ctx context.Context, r *replica, service string, current routingstate.Rollout, s rollout.State, d rollout.Decision,
	e *rollout.Evidence,
) {
	result, err := l.propose(ctx, r, routingstate.Command{DecideRollout: &routingstate.RolloutDecision{
		Service: service, Order: current.Order, Step: current.Step, State: rolloutStates[d.Action],
		Share: d.Share, RouteShares: d.RouteShares, Stage: uint8(d.Stage),
	}})
	l.cluster.log.Info("rollout decision", zap.String("service", service), zap.String("version", current.Target),
		zap.Stringer("action", d.Action), zap.String("cause", d.Cause), zap.String("route", d.Route), zap.Float64("share", d.Share),
		zap.Any("route_shares", d.RouteShares), zap.Duration("elapsed", s.Elapsed), zap.Uint64("requests", e.Requests()),
		zap.Uint64("sent_to_new", e.SentNew()), zap.Int("gateways", s.Gateways), zap.Int("reporting", s.Heard),
		zap.Int("out_of_contact", s.Confirmation.Silent), zap.Int("old_in_flight", s.Confirmation.OldInFlight),
		zap.Duration("evidence_since", s.Watched), zap.Stringer("result", result.Code), zap.Error(err))
}

func (l *rolloutLeader) propose(ctx context.Context, r *replica, command routingstate.Command) (routingstate.Result, error) {
	data, err := command.Encode()
	if err != nil {
		return routingstate.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	reply, err := r.node.Propose(ctx, data)
	if err != nil {
		return routingstate.Result{}, err
	}
	return routingstate.DecodeResult(reply)
}

// recordVersions records the version of services that have upstreams for the first time.
func (l *rolloutLeader) recordVersions(ctx context.Context, r *replica, view *routingstate.View, upstreams []registry.Entry) {
	if view.Config == nil {
		return
	}
	first := registry.FirstVersions(upstreams, view.Versions)
	for i := range view.Config.Services {
		service := view.Config.Services[i].Name
		version, ok := first[service]
		if !ok {
			continue
		}
		result, err := l.propose(ctx, r, routingstate.Command{Version: &routingstate.ServiceVersion{Service: service, Version: version}})
		if err != nil || result.Code != resultcode.OK {
			l.cluster.log.Warn("failed to record the version of a service", zap.String("service", service),
				zap.Stringer("result", result.Code), zap.Error(err))
			return
		}
		l.cluster.log.Info("version of a service recorded", zap.String("service", service), zap.String("version", version))
	}
}
