package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Decide returns what to do with a rollout. It is called every 250 ms.
//
// The new version is first tried with a share that stays below the bound on its exposure for as long as the duration allows. Then
// follow one intermediate step and the step to all requests. The old version is given up once all gateways have confirmed that
// step and have no requests at the old version left.
func (c Config) Decide(s State, e *Evidence) Decision {
	e.full = s.Stage == Full
	found, route := e.compare(Selected(s.NewUpstreams, s.Share))
	if found.level >= 1 {
		return Decision{Action: RollBack, Cause: "more " + found.cause + " than the old version", Route: route}
	}
	latest := s.Elapsed >= s.Duration-latestStep
	switch {
	case s.Stage == Full:
		return c.finish(s, found)
	case s.Watched < settleTime || s.Heard < s.Gateways && s.Watched < silentAfter:
		return Decision{Cause: "collecting reports"}
	case s.Elapsed < s.Duration-reserve(s.Duration):
		return c.trial(s, e)
	case s.NewUpstreams == 0 || e.SentNew() < minEvidence && e.Requests() >= fewRequests:
		if s.Elapsed >= s.Duration+withoutEvidence {
			return Decision{Action: RollBack, Cause: "the new version could not be tried"}
		}
		return Decision{Cause: "too few requests have reached the new version"}
	case found.level >= lateSuspicion && latest:
		return Decision{Action: RollBack, Cause: "probably more " + found.cause + " than the old version, and no time left", Route: route}
	case found.level >= suspicion && !latest:
		return Decision{Cause: "waiting for more evidence about " + found.cause, Route: route}
	case s.Stage == Trial && !latest:
		return c.ramp(s, e)
	case s.SinceStep < rampFor(s.Duration) && !latest:
		return Decision{Cause: "intermediate step"}
	case float64(s.NewUpstreams) < capacityPart*float64(s.OldUpstreams) && !latest:
		return Decision{Cause: "too few new upstreams"}
	}
	return Decision{Action: Step, Stage: Full, Share: 1, Cause: "as good as the old version"}
}

// reserve returns the time before the end of the duration at which the trial ends.
func reserve(duration time.Duration) time.Duration {
	return min(reserveTime, time.Duration(reservePart*float64(duration)))
}

func rampFor(duration time.Duration) time.Duration {
	return min(rampTime, time.Duration(rampPart*float64(duration)))
}

// trial adjusts the shares of the routes to their rates.
func (c Config) trial(s State, e *Evidence) Decision {
	allowed := c.ExposeShare*float64(e.Requests()) + c.ExposeSlack/2
	if s.SinceStep >= shareInterval && float64(e.SentNew()) > allowed && s.Share > c.FirstShare()/2 {
		return Decision{Action: Step, Share: c.FirstShare() / 2, Cause: "exposure"}
	}
	if s.SinceStep < shareInterval || e.Requests() == 0 {
		return Decision{Cause: "trial"}
	}
	share, routes := c.trialShares(s, e)
	if !differ(s, share, routes) {
		return Decision{Cause: "trial"}
	}
	return Decision{Action: Step, Share: share, RouteShares: routes, Cause: "rates of the routes"}
}

// trialShares divides the rate of the trial among the routes, the same rate for each where it has as many requests, so that a
// version that is faulty on a rare route only is found too.
func (c Config) trialShares(s State, e *Evidence) (share float64, routes map[string]float64) {
	seconds := max(s.Elapsed, shareInterval).Seconds()
	total := float64(e.Requests()) / seconds
	trialTime := (s.Duration - reserve(s.Duration)).Seconds()
	allowed := maxTrialShare*c.ExposeShare*total + trialSlack*c.ExposeSlack/trialTime
	left := min(max(trialRate, minTrialShare*c.ExposeShare*total), allowed, maxRouteShare*total)
	share = left / total
	routes = make(map[string]float64, len(e.requests))
	names := slices.SortedFunc(maps.Keys(e.requests), func(a, b string) int {
		return int(min(1, max(-1, int64(e.requests[a])-int64(e.requests[b]))))
	})
	for i, name := range names { // the route with the fewest requests first
		rate := float64(e.requests[name]) / seconds
		if rate == 0 {
			routes[name] = maxRouteShare
			continue
		}
		wanted := min(left/float64(len(names)-i), maxRouteShare*rate)
		routes[name] = wanted / rate
		left -= wanted
	}
	return share, routes
}

// differ reports whether shares differ so much from the current ones that a step is worth its messages.
func differ(s State, share float64, routes map[string]float64) bool {
	changed := func(from, to float64) bool { return math.Abs(to-from) > shareChange*max(from, to) }
	if changed(s.Share, share) {
		return true
	}
	for route, to := range routes {
		from, ok := s.RouteShares[route]
		if !ok || changed(from, to) {
			return true
		}
	}
	return false
}

// ramp returns the intermediate step.
func (c Config) ramp(s State, e *Evidence) Decision {
	seconds := max(s.Elapsed, shareInterval).Seconds()
	rate := float64(e.Requests()) / seconds
	left := c.ExposeShare*rate*max(seconds, s.Duration.Seconds()) + c.ExposeSlack - float64(e.SentNew())
	share := maxRampShare
	if rate > 0 {
		share = min(share, rampBudget*left/(rate*rampFor(s.Duration).Seconds()))
	}
	share = max(share, s.Share)
	routes := make(map[string]float64)
	for route, current := range s.RouteShares {
		if current > share {
			routes[route] = current // a rare route, of which the evidence is scarce
		}
	}
	return Decision{
		Action: Step, Stage: Ramp, Share: share, RouteShares: routes,
		Cause: fmt.Sprintf("trial without a finding, %.0f requests of exposure left", left),
	}
}

// finish completes the rollout once nothing uses the old version.
func (c Config) finish(s State, found finding) Decision {
	switch left := s.Duration - s.Elapsed; {
	case s.Confirmation.Missing > 0:
		return Decision{Cause: "gateways have not confirmed the last step"}
	case s.SinceStep < minFullTime || s.SinceStep < fullTime && left > finishReserve:
		return Decision{Cause: "last step"}
	case found.level >= suspicion && left > finishTime:
		return Decision{Cause: "waiting for more evidence about " + found.cause}
	case s.Confirmation.OldInFlight > 0 && s.SinceStep < usualTime && left > finishTime:
		return Decision{Cause: "requests at the old version have not ended"}
	}
	return Decision{Action: Complete, Cause: "no gateway uses the old version"}
}

// minSelected is the number of new upstreams that get requests in a trial, if there are as many. A quarter to a third of the
// upstreams are slow at any moment, and gateways must have others to choose from, as they have of the old version.
const minSelected = 8

// Selected returns how many of the new upstreams get requests with a share. They get about as many requests each as they would
// with all requests at the new version, so that a version that is faulty only under load is found in the trial.
func Selected(upstreams int, share float64) int {
	return min(upstreams, max(minSelected, int(math.Ceil(share*float64(upstreams)))))
}
