package rollout

import "time"

// Action is what to do with a rollout.
type Action uint8

const (
	Continue Action = 0
	Step     Action = 1 // change the shares
	Complete Action = 2
	RollBack Action = 3
)

// String returns the action's name in log lines.
func (a Action) String() string {
	return [...]string{"continue", "step", "complete", "roll_back"}[a]
}

// Stage is a stage of a rollout.
type Stage uint8

const (
	Trial Stage = 0 // the exposure stays below its bound
	Ramp  Stage = 1 // a larger share, for about a second
	Full  Stage = 2 // all requests use the new version
)

// Decision is what to do with a rollout.
type Decision struct {
	Action Action
	// Stage, Share and RouteShares are those after a step; see State.
	Stage       Stage
	Share       float64
	RouteShares map[string]float64
	// Cause says why, for a log line.
	Cause string
	// Route is the route that decided, if there is one.
	Route string
}

// State is the state of a rollout on which a decision is based.
type State struct {
	// Elapsed is the time since the order, and Duration the time within which the rollout is to end.
	Elapsed, Duration time.Duration
	Stage             Stage
	// Share is the share of the requests that the new version gets, and RouteShares replaces it for some routes.
	Share       float64
	RouteShares map[string]float64
	// SinceStep is the time since the shares were changed, and Watched the time since the deciding process has collected evidence.
	SinceStep, Watched time.Duration
	// NewUpstreams and OldUpstreams are the numbers of upstreams of both versions that may get requests.
	NewUpstreams, OldUpstreams int
	// Gateways is the number of live gateways, and Heard the number of those that have reported.
	Gateways, Heard int
	// Confirmation says which gateways apply the current shares.
	Confirmation Confirmation
}
