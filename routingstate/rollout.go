package routingstate

import (
	"time"

	"github.com/bramleypick/bramleypick/resultcode"
)

// RolloutState is the state of a rollout.
type RolloutState uint8

// States of a rollout.
const (
	RolloutRunning    RolloutState = 1
	RolloutCompleted  RolloutState = 2
	RolloutRolledBack RolloutState = 3
)

// String returns the state's name.
func (s RolloutState) String() string {
	switch s {
	case RolloutRunning:
		return "running"
	case RolloutCompleted:
		return "completed"
	case RolloutRolledBack:
		return "rolled_back"
	}
	return "unknown"
}

// Rollout is the last rollout of a service.
type Rollout struct {
	// Order is the log index of the order, which identifies the rollout.
	Order uint64 `cbor:"1,keyasint"`
	// Step is the log index of the last decision, or of the order if there is none yet.
	Step uint64 `cbor:"2,keyasint"`
	// From and Target are the old and the new version.
	From   string       `cbor:"3,keyasint,omitempty"`
	Target string       `cbor:"4,keyasint,omitempty"`
	State  RolloutState `cbor:"5,keyasint"`
	// Share is the share of the service's requests that the new version gets while the rollout is running, from 0 to 1.
	Share float64 `cbor:"6,keyasint,omitempty"`
	// RouteShares replaces Share for the requests of some routes, by route.
	RouteShares map[string]float64 `cbor:"7,keyasint,omitempty"`
	// Stage is the leader's stage; see package rollout.
	Stage uint8 `cbor:"10,keyasint,omitempty"`
	// StartedUnixMilli is the time at which the order was received, in ms since the Unix epoch.
	StartedUnixMilli int64 `cbor:"8,keyasint"`
	// DurationMillis is the time within which the rollout is to end.
	DurationMillis int64 `cbor:"9,keyasint"`
}

// Duration returns the time from the order within which the rollout is to end.
func (r Rollout) Duration() time.Duration { return time.Duration(r.DurationMillis) * time.Millisecond }

// RouteShare returns the share of the requests of a route that the new version gets.
func (r Rollout) RouteShare(route string) float64 {
	if share, ok := r.RouteShares[route]; ok {
		return share
	}
	return r.Share
}

// ServiceVersion records the version that a service has when its first upstreams are seen.
type ServiceVersion struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint,omitempty"`
}

// RolloutOrder starts a rollout.
type RolloutOrder struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint,omitempty"`
	// ReceivedUnixMilli is when the order was received, in ms since the Unix epoch.
	ReceivedUnixMilli int64 `cbor:"3,keyasint"`
	DurationMillis    int64 `cbor:"4,keyasint"`
	// Share is the share of the requests that the new version gets at first.
	Share float64 `cbor:"5,keyasint,omitempty"`
	// After is the index of the last rollout's order that the process which received this order knew of, or 0. The order is
	// rejected if another one was accepted since.
	After uint64 `cbor:"6,keyasint,omitempty"`
}

// repeatWindow is the least time for which an order equal to the last one counts as a repetition of it. Operators resend an order
// for 4 s; the rest allows for copies that are held up on their way.
const repeatWindow = 10 * time.Second

// repeats reports whether the order is a repetition of the one that started the rollout, although that may have ended. A rollout
// of a faulty version can end within a second, before the operator has resent the order.
func (o RolloutOrder) repeats(r Rollout) bool {
	if o.Target != r.Target || o.DurationMillis != r.DurationMillis {
		return false
	}
	age := time.Duration(o.ReceivedUnixMilli-r.StartedUnixMilli) * time.Millisecond
	return r.State == RolloutRunning || age < max(repeatWindow, r.Duration())
}

// RolloutDecision is a decision of the leader about a running rollout.
type RolloutDecision struct {
	Service string `cbor:"1,keyasint"`
	// Order and Step are those of the rollout that the decision is based on. The decision is rejected if they have changed.
	Order uint64       `cbor:"2,keyasint"`
	Step  uint64       `cbor:"3,keyasint"`
	State RolloutState `cbor:"4,keyasint"`
	// Share, RouteShares and Stage replace those of the rollout.
	Share       float64            `cbor:"5,keyasint,omitempty"`
	RouteShares map[string]float64 `cbor:"6,keyasint,omitempty"`
	Stage       uint8              `cbor:"7,keyasint,omitempty"`
}

// applyVersion records the first version of a service. Later ones take effect only by rollouts.
func (m *Machine) applyVersion(index uint64, c ServiceVersion) Result {
	view := m.View()
	if _, known := view.Versions[c.Service]; known {
		return Result{Code: resultcode.OK, Index: view.Index}
	}
	next := view.next(index)
	next.Versions = cloneMap(view.Versions)
	next.Versions[c.Service] = c.Version
	m.view.Store(next)
	return Result{Code: resultcode.OK, Index: index}
}

func (m *Machine) applyRolloutOrder(index uint64, o RolloutOrder) Result {
	view := m.View()
	last, exists := view.Rollouts[o.Service]
	switch {
	case exists && o.repeats(last):
		return Result{Code: resultcode.OK, Index: view.Index}
	case exists && last.State == RolloutRunning:
		return Result{Code: resultcode.RolloutInProgress, Message: "a rollout to version " + last.Target + " is in progress"}
	case exists && o.After != last.Order:
		return Result{Code: resultcode.VersionConflict, Message: "another order about the service was accepted", LastOrder: last.Order}
	case !view.hasService(o.Service):
		return Result{Code: resultcode.UnknownService, Message: "the configuration has no service " + o.Service}
	}
	from, known := view.Versions[o.Service]
	if !known {
		return Result{Code: resultcode.NoUpstream, Message: "the current version of the service is not known yet"}
	}
	r := Rollout{
		Order: index, Step: index, From: from, Target: o.Target, State: RolloutRunning, Share: o.Share,
		StartedUnixMilli: o.ReceivedUnixMilli, DurationMillis: o.DurationMillis,
	}
	if from == o.Target {
		r.State, r.Share = RolloutCompleted, 0
	}
	m.storeRollout(index, o.Service, r)
	return Result{Code: resultcode.OK, Index: index}
}

// applyRolloutDecision rejects decisions that are based on an earlier state of the rollout, such as those of a former leader.
func (m *Machine) applyRolloutDecision(index uint64, d RolloutDecision) Result {
	r, exists := m.View().Rollouts[d.Service]
	if !exists || r.State != RolloutRunning || r.Order != d.Order || r.Step != d.Step {
		return Result{Code: resultcode.VersionConflict, Message: "the rollout has changed since the decision"}
	}
	r.Step, r.State, r.Share, r.RouteShares, r.Stage = index, d.State, d.Share, d.RouteShares, d.Stage
	m.storeRollout(index, d.Service, r)
	return Result{Code: resultcode.OK, Index: index}
}

func (m *Machine) storeRollout(index uint64, service string, r Rollout) {
	view := m.View()
	next := view.next(index)
	next.Rollouts = cloneMap(view.Rollouts)
	next.Rollouts[service] = r
	if r.State == RolloutCompleted {
		next.Versions = cloneMap(view.Versions)
		next.Versions[service] = r.Target
	}
	m.view.Store(next)
}

func (v *View) hasService(name string) bool {
	if v.Config == nil {
		return false
	}
	for i := range v.Config.Services {
		if v.Config.Services[i].Name == name {
			return true
		}
	}
	return false
}
