package admission

import "time"

// Scheduler schedules the requests of one service. Calls that change it are followed by Poll, which returns what to do.
type Scheduler struct {
	cfg       Config
	upstreams map[string]*upstream
	// order holds the same upstreams; selection starts at rotate so that ties are spread.
	order  []*upstream
	rotate int
	// usable counts the upstreams that may get new work.
	usable  int
	classes classes
	queue   queue
	// nextDeadline is no later than the earliest deadline in the queue.
	nextDeadline time.Time
	lastID       uint64
	// out collects the actions of the next Poll; spare holds the memory of the last one.
	out, spare Actions
}

// Actions are what Poll asks for. The slices are valid until the next Poll.
type Actions struct {
	Dispatches []Dispatch
	Rejections []Rejection
	Probes     []Probe
	// Wake is when Poll must be called again even if nothing happens. Zero means never.
	Wake time.Time
}

// emptied returns the same memory without actions.
func (a Actions) emptied() Actions {
	return Actions{Dispatches: a.Dispatches[:0], Rejections: a.Rejections[:0], Probes: a.Probes[:0]}
}

// New returns a scheduler without upstreams.
func New(cfg Config) *Scheduler {
	s := &Scheduler{upstreams: make(map[string]*upstream), classes: make(classes), queue: newQueue()}
	s.SetConfig(cfg)
	return s
}

// SetConfig replaces the settings.
func (s *Scheduler) SetConfig(cfg Config) {
	cfg.ColdSlots = max(1, cfg.ColdSlots)
	s.cfg = cfg
	s.queue.weights = cfg.Weights
}

// Enqueue adds a request. Poll returns its dispatch or its rejection, or that of a request it displaced.
func (s *Scheduler) Enqueue(r *Request, now time.Time) {
	if !s.reachable(r) {
		s.reject(r, ReasonNoUpstream)
		return
	}
	if s.cfg.Policy == PolicyOwner && !r.NoQueue && s.full(r) {
		// Requests that came since the last Poll may have free slots waiting for them.
		s.dispatch(now)
		if s.full(r) && !s.makeRoom(r) {
			return
		}
	}
	s.queue.push(r)
	if !r.Deadline.IsZero() && (s.nextDeadline.IsZero() || r.Deadline.Before(s.nextDeadline)) {
		s.nextDeadline = r.Deadline
	}
}

// makeRoom displaces a request of a lower priority if the queue or the tenant is at its limit. It rejects r and returns
// false if there is none.
func (s *Scheduler) makeRoom(r *Request) bool {
	if s.tenantFull(r) {
		return s.displace(r, true, ReasonTenantLimit)
	}
	return s.displace(r, false, ReasonQueueFull)
}

// full tells whether the queue or the tenant is at its limit.
func (s *Scheduler) full(r *Request) bool {
	return s.tenantFull(r) || s.queue.size >= max(1, s.cfg.QueueLimit)
}

func (s *Scheduler) tenantFull(r *Request) bool {
	return s.cfg.TenantLimit > 0 && s.queue.tenantSize[r.Tenant] >= s.cfg.TenantLimit
}

func (s *Scheduler) displace(r *Request, sameTenant bool, otherwise Reason) bool {
	victim := s.queue.last(r.Priority, r.Tenant, sameTenant)
	if victim == nil {
		s.reject(r, otherwise)
		return false
	}
	s.queue.remove(victim)
	s.reject(victim, ReasonDisplaced)
	return true
}

// Cancel removes a waiting request whose caller went away. It returns false if the request is not waiting.
func (s *Scheduler) Cancel(r *Request) bool {
	if !r.queued {
		return false
	}
	s.queue.remove(r)
	return true
}

// TakeWaiting removes and returns the waiting request that is due next among those that accept permits, or nil. Its tenant is
// charged as for a dispatch, because the request is served elsewhere.
func (s *Scheduler) TakeWaiting(accept func(*Request) bool) *Request {
	r := s.queue.first(accept)
	if r != nil {
		s.queue.serve(r)
	}
	return r
}

// Responded records that the response header of a request arrived while the body is still on its way.
func (s *Scheduler) Responded(a Assignment, latency time.Duration, report Report, now time.Time) {
	u := s.upstreams[a.UpstreamID]
	if u == nil {
		return
	}
	i := u.find(a.id)
	if i < 0 {
		return
	}
	u.inFlight[i].responded = true
	s.observeLatency(u, u.inFlight[i], latency, now)
	s.reportFrom(u, a, report, now)
}

// Done ends an assignment.
func (s *Scheduler) Done(a Assignment, o Outcome, now time.Time) {
	u := s.upstreams[a.UpstreamID]
	if u == nil {
		return
	}
	r, ok := u.end(a.id)
	if !ok || o.Result == NotSent {
		s.forgetGone(u)
		return
	}
	s.reportFrom(u, a, o.Report, now)
	switch o.Result {
	case Succeeded:
		s.observeLatency(u, r, o.Latency, now)
		u.estimate.result(false, now)
		if u.estimate.slow == 0 {
			u.ramp.success(a.id, u.info.Slots)
		}
		if u.ramp.warm {
			u.eject.strikes = 0
		}
	case Failed:
		u.estimate.result(true, now)
	case Neutral:
		u.estimate.atLeast(s.classes.slowness(r.class, o.Latency), now)
	}
	if a.id >= u.ramp.since && u.estimate.looksCold() {
		s.drop(u)
	}
	s.considerEjection(u, now)
	s.forgetGone(u)
}

func (s *Scheduler) observeLatency(u *upstream, r running, latency time.Duration, now time.Time) {
	if latency <= 0 {
		return
	}
	u.estimate.latency(s.classes.slowness(r.class, latency), now)
	s.classes.observe(r.class, latency)
}

// drop puts an upstream back to the cold limit.
func (s *Scheduler) drop(u *upstream) {
	u.ramp.drop(s.cfg.ColdSlots, s.lastID+1)
	u.inherited = false
}

// reportFrom handles a report that came with a response of this gateway's own request.
func (s *Scheduler) reportFrom(u *upstream, a Assignment, r Report, now time.Time) {
	if a.Epoch != u.info.Epoch {
		return
	}
	if r.BootID != "" && r.BootID != u.bootID && a.id < u.ramp.since {
		return // A late response of the process before the restart.
	}
	s.report(u, r, now)
}

func (s *Scheduler) report(u *upstream, r Report, now time.Time) {
	if r.BootID != "" && r.BootID != u.bootID {
		s.restarted(u, r.BootID)
	}
	if r.HasLoad {
		u.probe.reported = now
		u.foreign = min(u.foreign, max(0, r.InFlight))
		if r.Slots > 0 {
			u.slots = min(u.info.Slots, r.Slots)
		}
	}
	if !r.HasCold {
		return
	}
	if r.Cold {
		s.drop(u)
	} else if u.inherited {
		u.ramp.full(u.info.Slots)
		u.inherited = false
	}
}

// restarted handles a new boot id: the process is cold, and the requests of former owners ended with the old one.
func (s *Scheduler) restarted(u *upstream, bootID string) {
	u.bootID = bootID
	u.foreign, u.carried = 0, false
	u.slots = u.info.Slots
	s.drop(u)
}

func (s *Scheduler) reject(r *Request, reason Reason) {
	s.out.Rejections = append(s.out.Rejections, Rejection{Request: r, Reason: reason})
}

func (s *Scheduler) wakeAt(t time.Time) {
	if s.out.Wake.IsZero() || t.Before(s.out.Wake) {
		s.out.Wake = t
	}
}
