package admission

import "time"

// Scheduler schedules the requests of one service. After each call that changes it, the caller calls Poll and carries out
// the returned actions.
type Scheduler struct {
	cfg       Config
	upstreams map[string]*upstream
	// upstreamList holds the same upstreams in the order of SetUpstreams. The search for the lowest cost starts at rotation,
	// so that upstreams with equal cost are selected in turn.
	upstreamList []*upstream
	rotation     int
	// usable is the number of upstreams that may receive new requests.
	usable         int
	classLatencies classLatencies
	queue          queue
	// nextDeadline is at or before the earliest deadline in the queue; zero if there is none.
	nextDeadline     time.Time
	lastAssignmentID uint64
	// actions collects the actions for the next Poll to return. spareActions holds the buffers returned by the last Poll, for
	// reuse.
	actions, spareActions Actions
}

// Actions are the actions that the caller carries out after Poll. The slices are valid until the next Poll.
type Actions struct {
	Dispatches []Dispatch
	Rejections []Rejection
	Probes     []Probe
	// Wake is the time at which Poll must be called again even without other events; zero if it need not be.
	Wake time.Time
}

// cleared returns empty Actions that reuse the slices of a.
func (a Actions) cleared() Actions {
	return Actions{Dispatches: a.Dispatches[:0], Rejections: a.Rejections[:0], Probes: a.Probes[:0]}
}

// New returns a scheduler without upstreams.
func New(cfg Config) *Scheduler {
	s := &Scheduler{upstreams: make(map[string]*upstream), classLatencies: make(classLatencies), queue: newQueue()}
	s.SetConfig(cfg)
	return s
}

// SetConfig replaces the configuration.
func (s *Scheduler) SetConfig(cfg Config) {
	cfg.ColdSlots = max(1, cfg.ColdSlots)
	s.cfg = cfg
	s.queue.weights = cfg.Weights
}

// Enqueue adds a request. Poll returns its dispatch or rejection, and the rejection of a request that it displaced.
func (s *Scheduler) Enqueue(r *Request, now time.Time) {
	if !s.servable(r) {
		s.reject(r, ReasonNoUpstream)
		return
	}
	if s.cfg.Policy == PolicyOwner && !r.NoQueue && s.queueFull(r) {
		// Dispatch first, since requests added after the last Poll may be queued although slots are free.
		s.dispatch(now)
		if s.queueFull(r) && !s.makeRoom(r) {
			return
		}
	}
	s.queue.push(r)
	if !r.Deadline.IsZero() && (s.nextDeadline.IsZero() || r.Deadline.Before(s.nextDeadline)) {
		s.nextDeadline = r.Deadline
	}
}

// makeRoom displaces a request of a lower priority to make room for r. If the client account of r is at its limit, only
// requests of that account are considered. If there is none to displace, it rejects r and returns false.
func (s *Scheduler) makeRoom(r *Request) bool {
	if s.accountFull(r) {
		return s.displace(r, true, ReasonClientAccountLimit)
	}
	return s.displace(r, false, ReasonQueueFull)
}

// queueFull reports whether the queue or the client account of r is at its limit.
func (s *Scheduler) queueFull(r *Request) bool {
	return s.accountFull(r) || s.queue.size >= max(1, s.cfg.QueueLimit)
}

func (s *Scheduler) accountFull(r *Request) bool {
	return s.cfg.ClientAccountLimit > 0 && s.queue.sizeByAccount[r.ClientAccount] >= s.cfg.ClientAccountLimit
}

// displace rejects a queued request of a lower priority in favour of r. If there is none, it rejects r for the reason
// noVictim and returns false.
func (s *Scheduler) displace(r *Request, sameAccount bool, noVictim Reason) bool {
	victim := s.queue.displaceable(r.Priority, r.ClientAccount, sameAccount)
	if victim == nil {
		s.reject(r, noVictim)
		return false
	}
	s.queue.remove(victim)
	s.reject(victim, ReasonDisplaced)
	return true
}

// Cancel removes a queued request whose client disconnected. It returns false if the request is not queued.
func (s *Scheduler) Cancel(r *Request) bool {
	if !r.queued {
		return false
	}
	s.queue.remove(r)
	return true
}

// TakeQueued removes and returns the first queued request, in order of service, that accept permits, or nil if there is
// none. The client account is charged as for a dispatch, because the request is served elsewhere.
func (s *Scheduler) TakeQueued(accept func(*Request) bool) *Request {
	r := s.queue.firstEligible(accept)
	if r != nil {
		s.queue.dequeue(r)
	}
	return r
}

// Responded records that the response header of a request arrived. The request remains in flight until Done.
func (s *Scheduler) Responded(a Assignment, latency time.Duration, report Report, now time.Time) {
	u := s.upstreams[a.UpstreamID]
	if u == nil {
		return
	}
	i := u.findInFlight(a.id)
	if i < 0 {
		return
	}
	u.inFlight[i].responded = true
	s.observeLatency(u, u.inFlight[i], latency, now)
	s.applyResponseReport(u, a, report, now)
}

// Done ends an assignment and updates the state of its upstream from the outcome.
func (s *Scheduler) Done(a Assignment, o Outcome, now time.Time) {
	u := s.upstreams[a.UpstreamID]
	if u == nil {
		return
	}
	r, ok := u.removeInFlight(a.id)
	if !ok || o.Result == NotSent {
		s.removeIfGone(u)
		return
	}
	s.applyResponseReport(u, a, o.Report, now)
	switch o.Result {
	case Succeeded:
		s.observeLatency(u, r, o.Latency, now)
		u.estimate.addResult(false, now)
		if u.estimate.consecutiveSlow == 0 {
			u.ramp.addCompletion(a.id, u.info.Slots)
		}
		if u.ramp.warm {
			u.ejection.count = 0
		}
	case Failed:
		u.estimate.addResult(true, now)
	case Neutral:
		u.estimate.addLatencyLowerBound(s.classLatencies.ratio(r.class, o.Latency), now)
	}
	if a.id >= u.ramp.firstAssignment && u.estimate.suggestsColdStart() {
		s.resetRamp(u)
	}
	s.ejectIfFailing(u, now)
	s.removeIfGone(u)
}

func (s *Scheduler) observeLatency(u *upstream, r inFlightRequest, latency time.Duration, now time.Time) {
	if latency <= 0 {
		return
	}
	u.estimate.addLatency(s.classLatencies.ratio(r.class, latency), now)
	s.classLatencies.observe(r.class, latency)
}

// resetRamp resets the limit of an upstream to the cold limit.
func (s *Scheduler) resetRamp(u *upstream) {
	u.ramp.reset(s.cfg.ColdSlots, s.lastAssignmentID+1)
	u.possiblyWarm = false
}

// applyResponseReport applies a report from the response to a request of this gateway. It ignores reports of an earlier
// ownership epoch or an earlier process.
func (s *Scheduler) applyResponseReport(u *upstream, a Assignment, r Report, now time.Time) {
	if a.Epoch != u.info.Epoch {
		return
	}
	if r.BootID != "" && r.BootID != u.bootID && a.id < u.ramp.firstAssignment {
		return // A late response of the process that ran before the restart.
	}
	s.applyReport(u, r, now)
}

func (s *Scheduler) applyReport(u *upstream, r Report, now time.Time) {
	if r.BootID != "" && r.BootID != u.bootID {
		s.handleRestart(u, r.BootID)
	}
	if r.HasLoad {
		u.probe.reportedAt = now
		u.formerOwnerInFlight = min(u.formerOwnerInFlight, max(0, r.InFlight))
		if r.Slots > 0 {
			u.slots = min(u.info.Slots, r.Slots)
		}
	}
	if !r.HasCold {
		return
	}
	if r.Cold {
		s.resetRamp(u)
	} else if u.possiblyWarm {
		u.ramp.raiseToSlots(u.info.Slots)
		u.possiblyWarm = false
	}
}

// handleRestart resets the state of u after a new boot id: the new process is cold, and requests of former owners ended
// with the old process.
func (s *Scheduler) handleRestart(u *upstream, bootID string) {
	u.bootID = bootID
	u.formerOwnerInFlight, u.hadOwner = 0, false
	u.slots = u.info.Slots
	s.resetRamp(u)
}

func (s *Scheduler) reject(r *Request, reason Reason) {
	s.actions.Rejections = append(s.actions.Rejections, Rejection{Request: r, Reason: reason})
}

func (s *Scheduler) wakeAt(t time.Time) {
	if s.actions.Wake.IsZero() || t.Before(s.actions.Wake) {
		s.actions.Wake = t
	}
}
