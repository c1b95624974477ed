package admission

import "time"

// Upstream is an upstream of the service as the view has it.
type Upstream struct {
	ID     string
	BootID string
	Epoch  uint64
	Slots  int
	// Owned is true where this gateway may send work. The others are kept to tell old boot ids from new ones.
	Owned bool
	// Assigned is true where any gateway may.
	Assigned bool
	// Stopping and Moving upstreams get nothing new.
	Stopping bool
	Moving   bool
	// Remaining is how many requests of the former owner may still run.
	Remaining int
	// OwnerLost is true where the former owner was lost, so that up to Slots of its requests may still run.
	OwnerLost bool
}

// running is a request in flight.
type running struct {
	id        uint64
	class     string
	start     time.Time
	responded bool
}

// upstream is the state of one upstream.
type upstream struct {
	info Upstream
	// inView is false for an upstream that left the view and is kept for the requests that run there.
	inView bool
	// bootID is the latest one seen, in the view, a response or a probe.
	bootID string
	// slots is the lower of the announced and the reported number.
	slots int
	// foreign is how many requests of former owners may still run.
	foreign int
	// foreignUntil is when they have ended for certain.
	foreignUntil time.Time
	// carried is true where the present process of the upstream had an owner in some view.
	carried bool
	// inherited is true where a former owner may have warmed the upstream up, until a report confirms or denies it.
	inherited bool
	// stoppedAt is when the upstream was last seen in a planned stop; zero for never.
	stoppedAt time.Time

	inFlight []running
	ramp     ramp
	estimate estimate
	eject    ejection
	probe    prober
}

// stoppedLately tells whether the upstream was in a planned stop so short a time ago that no owner can have warmed it up
// since. It was emptied for maintenance and may be cold under its old boot id, whatever it reports.
func (u *upstream) stoppedLately(now time.Time) bool {
	return !u.stoppedAt.IsZero() && now.Sub(u.stoppedAt) < stopMemory
}

// usable tells whether the upstream may get new work at all.
func (u *upstream) usable() bool {
	return u.info.Owned && !u.info.Stopping && !u.info.Moving
}

// limit is how many requests of this gateway the upstream may hold. Requests of former owners count against the ramp too:
// an upstream in cold start cannot tell them apart.
func (u *upstream) limit() int {
	return max(0, min(u.ramp.limit, u.slots)-u.foreign)
}

// free is how many more requests the upstream may get now.
func (u *upstream) free(now time.Time) int {
	if !u.usable() || u.eject.active(now) || u.probe.quiet {
		return 0
	}
	return max(0, u.limit()-len(u.inFlight))
}

// overFree is how many more requests the upstream may get beyond its slots.
func (u *upstream) overFree(allowance int, now time.Time) int {
	if !u.usable() || u.eject.active(now) || u.probe.quiet || !u.ramp.warm || u.foreign > 0 {
		return 0
	}
	return max(0, u.slots+allowance-len(u.inFlight))
}

// cost is the expected completion time of one more request, relative to that of an average idle upstream. Requests that
// have waited long for a response count before they end, and failures count as the retries they cause, so that neither a
// straggler nor an upstream that fails fast attracts work.
func (u *upstream) cost(c classes, now time.Time) float64 {
	slowness, failRate := u.estimate.current(now)
	for i := range u.inFlight {
		if r := &u.inFlight[i]; !r.responded {
			slowness = max(slowness, c.slowness(r.class, now.Sub(r.start)))
		}
	}
	load := float64(len(u.inFlight)+u.foreign) / float64(max(1, u.slots))
	return slowness * (1 + load) / max(minSuccess, 1-failRate)
}

// find returns the index of a request in flight, or -1.
func (u *upstream) find(id uint64) int {
	for i := range u.inFlight {
		if u.inFlight[i].id == id {
			return i
		}
	}
	return -1
}

// end removes a request in flight.
func (u *upstream) end(id uint64) (running, bool) {
	i := u.find(id)
	if i < 0 {
		return running{}, false
	}
	r := u.inFlight[i]
	last := len(u.inFlight) - 1
	u.inFlight[i] = u.inFlight[last]
	u.inFlight = u.inFlight[:last]
	return r, true
}
