package admission

import "time"

// Upstream is an upstream of the service as the gateway's current view describes it.
type Upstream struct {
	ID     string
	BootID string
	Epoch  uint64
	Slots  int
	// Owned is set if this gateway owns the upstream and may send requests to it. The state of upstreams that are not owned
	// is kept to recognise new boot ids.
	Owned bool
	// Assigned is set if any gateway owns the upstream.
	Assigned bool
	// Stopping and Moving upstreams receive no new requests.
	Stopping bool
	Moving   bool
	// Remaining is how many requests of the former owner may still be running.
	Remaining int
	// OwnerLost is set if the former owner was lost, so that up to Slots of its requests may still be running.
	OwnerLost bool
}

// inFlightRequest is a request of this gateway that is in flight on an upstream.
type inFlightRequest struct {
	id        uint64
	class     string
	start     time.Time
	responded bool
}

// upstream is the state of one upstream.
type upstream struct {
	info Upstream
	// inView is false for an upstream that left the view and is kept for its requests in flight.
	inView bool
	// bootID is the latest boot id from the view, a response or a probe.
	bootID string
	// slots is the lower of the announced and the last reported number of slots.
	slots int
	// formerOwnerInFlight is how many requests of former owners may still be running.
	formerOwnerInFlight int
	// formerOwnerDeadline is the time by which these requests have certainly ended.
	formerOwnerDeadline time.Time
	// hadOwner is set if the current process of the upstream had an owner in any view so far.
	hadOwner bool
	// possiblyWarm is set if the upstream may have been warmed up under a former owner. It is cleared once a report states
	// whether the upstream is cold.
	possiblyWarm bool
	// stoppedAt is the last time at which a view showed the upstream in a planned stop; zero if none did.
	stoppedAt time.Time

	inFlight []inFlightRequest
	ramp     ramp
	estimate estimate
	ejection ejection
	probe    probeState
}

// stoppedRecently reports whether the upstream's last planned stop is so recent that it cannot have warmed up since. It was
// drained for maintenance and may be cold although its boot id is unchanged, whatever it reports.
func (u *upstream) stoppedRecently(now time.Time) bool {
	return !u.stoppedAt.IsZero() && now.Sub(u.stoppedAt) < recentStopWindow
}

// usable reports whether the upstream may receive new requests at all.
func (u *upstream) usable() bool {
	return u.info.Owned && !u.info.Stopping && !u.info.Moving
}

// limit returns how many requests of this gateway may be in flight on the upstream. Requests of former owners count against
// the ramp as well, since they load an upstream in cold start in the same way.
func (u *upstream) limit() int {
	return max(0, min(u.ramp.limit, u.slots)-u.formerOwnerInFlight)
}

// freeSlots returns how many more requests may be dispatched to the upstream now.
func (u *upstream) freeSlots(now time.Time) int {
	if !u.usable() || u.ejection.active(now) || u.probe.dispatchPaused {
		return 0
	}
	return max(0, u.limit()-len(u.inFlight))
}

// freeOverAllowance returns how many more requests may be dispatched to the upstream under the over-allowance.
func (u *upstream) freeOverAllowance(allowance int, now time.Time) int {
	if !u.usable() || u.ejection.active(now) || u.probe.dispatchPaused || !u.ramp.warm || u.formerOwnerInFlight > 0 {
		return 0
	}
	return max(0, u.slots+allowance-len(u.inFlight))
}

// cost returns the expected completion time of one more request, relative to that on an average idle upstream. It includes
// the waiting time of requests that have no response yet, and the retries that the failure rate causes. Otherwise
// stragglers and upstreams that fail fast would look idle and attract requests.
func (u *upstream) cost(c classLatencies, now time.Time) float64 {
	latencyRatio, failureRate := u.estimate.current(now)
	for i := range u.inFlight {
		if r := &u.inFlight[i]; !r.responded {
			latencyRatio = max(latencyRatio, c.ratio(r.class, now.Sub(r.start)))
		}
	}
	load := float64(len(u.inFlight)+u.formerOwnerInFlight) / float64(max(1, u.slots))
	return latencyRatio * (1 + load) / max(minSuccessRate, 1-failureRate)
}

// findInFlight returns the index of a request in flight, or -1.
func (u *upstream) findInFlight(id uint64) int {
	for i := range u.inFlight {
		if u.inFlight[i].id == id {
			return i
		}
	}
	return -1
}

// removeInFlight removes a request in flight and returns it. It returns false if there is none with that id.
func (u *upstream) removeInFlight(id uint64) (inFlightRequest, bool) {
	i := u.findInFlight(id)
	if i < 0 {
		return inFlightRequest{}, false
	}
	r := u.inFlight[i]
	last := len(u.inFlight) - 1
	u.inFlight[i] = u.inFlight[last]
	u.inFlight = u.inFlight[:last]
	return r, true
}
