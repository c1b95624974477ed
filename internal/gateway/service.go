package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleypick/bramleypick/admission"
	"github.com/bramleypick/bramleypick/crashguard"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
	"github.com/bramleypick/bramleypick/retrybudget"
)

// service runs the scheduler of one service on a separate goroutine.
type service struct {
	name        string
	g           *Gateway
	events      chan event
	stop        chan struct{}
	stopOnce    sync.Once
	retryBudget *retrybudget.Budget
	crashGuard  *crashguard.Guard

	// Only the scheduler goroutine uses the fields below.
	scheduler   *admission.Scheduler
	peerReports map[uint64]peerReport
	// peerOwners holds the other sessions that own upstreams which may receive new requests.
	peerOwners map[uint64]bool
	draining   []drainingUpstream
	// lastQueueLength is the queue length last written to the metrics.
	lastQueueLength int

	// lastFreeSlots is the result of freeSlots at the last poll. It is updated only while other sessions own
	// upstreams. Any goroutine may read it.
	lastFreeSlots atomic.Int64
}

// deadlineMargin is how long an upstream may continue to run a request after its deadline.
const deadlineMargin = time.Second

// maxEventsPerPoll bounds the events handled between two polls of the scheduler, after the first one.
const maxEventsPerPoll = 64

func newService(g *Gateway, name string, sv *serviceView) *service {
	s := &service{
		name: name, g: g, events: make(chan event, g.cfg.EventQueueLimit), stop: make(chan struct{}),
		retryBudget: retrybudget.New(sv.config.RetryPercent, time.Now()), crashGuard: crashguard.New(),
		scheduler: admission.New(schedulerConfig(g, sv)), peerReports: make(map[uint64]peerReport),
	}
	go s.run()
	return s
}

func (s *service) close() {
	s.stopOnce.Do(func() { close(s.stop) })
}

// send queues an event that must not be lost. It returns false once the service has stopped.
func (s *service) send(e event) bool {
	select {
	case s.events <- e:
		return true
	case <-s.stop:
		return false
	}
}

func (s *service) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-timer.C:
		case e := <-s.events:
			s.handle(e)
			s.handlePending()
		}
		s.poll(timer)
	}
}

func (s *service) handlePending() {
	for range maxEventsPerPoll {
		select {
		case e := <-s.events:
			s.handle(e)
		default:
			return
		}
	}
}

func (s *service) handle(e event) {
	now := time.Now()
	switch e.kind {
	case eventEnqueue:
		s.enqueue(e.waiter, now)
	case eventCancel:
		if s.scheduler.Cancel(&e.waiter.request) {
			e.waiter.grant <- grant{cancelled: true}
		}
	case eventResponded:
		s.scheduler.Responded(e.assignment, e.outcome.Latency, e.outcome.Report, now)
	case eventDone:
		s.scheduler.Done(e.assignment, e.outcome, now)
	case eventProbeDone:
		s.scheduler.ProbeDone(e.probe, e.probeResult, now)
	case eventView:
		s.apply(e.update, now)
	case eventPeerFreeSlots:
		s.setPeerFreeSlots(e.session, e.freeSlots, now)
	case eventStatus:
		e.status <- s.status(now)
	}
}

func (s *service) enqueue(w *waiter, now time.Time) {
	if w.mayForward {
		if peer := s.forwardTarget(now, s.scheduler.Usable() == 0); peer != 0 {
			w.grant <- grant{forwardTo: peer}
			return
		}
	}
	s.scheduler.Enqueue(&w.request, now)
}

func (s *service) poll(timer *time.Timer) {
	now := time.Now()
	actions := s.scheduler.Poll(now)
	for _, d := range actions.Dispatches {
		d.Request.Value.(*waiter).grant <- grant{assignment: d.Assignment, assigned: true}
	}
	for _, r := range actions.Rejections {
		s.reject(r, now)
	}
	for _, p := range actions.Probes {
		s.startProbe(p)
	}
	if queued := s.scheduler.Queued(); queued != s.lastQueueLength {
		s.lastQueueLength = queued
		s.g.metrics.setQueueLength(s.name, queued)
	}
	if len(s.peerOwners) > 0 {
		s.lastFreeSlots.Store(int64(s.freeSlots(now)))
	}
	s.notifyDrained()
	if actions.Wake.IsZero() {
		timer.Reset(time.Hour)
	} else {
		timer.Reset(max(0, actions.Wake.Sub(now)))
	}
}

// reject ends the wait of a request. If no owned upstream can take the request any more, for example because its
// availability zone was stopped, it is forwarded to a peer instead.
func (s *service) reject(r admission.Rejection, now time.Time) {
	w := r.Request.Value.(*waiter)
	if r.Reason == admission.ReasonNoUpstream && w.mayForward {
		if peer := s.forwardTarget(now, true); peer != 0 {
			w.grant <- grant{forwardTo: peer}
			return
		}
	}
	w.grant <- grant{reason: r.Reason}
}

// acquire waits for an assignment. A grant without an assignment names a peer to forward the request to.
func (s *service) acquire(ctx context.Context, w *waiter) (grant, *resultcode.Error) {
	select {
	case s.events <- event{kind: eventEnqueue, waiter: w}:
	case <-s.stop:
		return grant{}, resultcode.Errorf(resultcode.ShuttingDown, "the gateway has stopped")
	default:
		return grant{}, resultcode.Errorf(resultcode.QueueFull, "the scheduler has too many events waiting")
	}
	select {
	case got := <-w.grant:
		return s.checkGrant(got)
	case <-ctx.Done():
	}
	if !s.send(event{kind: eventCancel, waiter: w}) {
		return grant{}, resultcode.Errorf(resultcode.ShuttingDown, "the gateway has stopped")
	}
	got := <-w.grant
	if got.assigned {
		s.done(got.assignment, admission.Outcome{Result: admission.NotSent})
	}
	return grant{}, resultcode.Errorf(resultcode.DeadlineBeforeStart, "the request ended while it was queued")
}

func (s *service) checkGrant(got grant) (grant, *resultcode.Error) {
	switch got.reason {
	case 0:
		return got, nil
	case admission.ReasonQueueFull:
		return got, resultcode.Errorf(resultcode.QueueFull, "the queue of service %s is full", s.name)
	case admission.ReasonDisplaced:
		return got, resultcode.Errorf(resultcode.ShedByPriority, "a request of a higher priority took the place in the queue")
	case admission.ReasonClientAccountLimit:
		return got, resultcode.Errorf(resultcode.ClientAccountLimit, "the tenant has too many requests waiting")
	case admission.ReasonDeadline:
		return got, resultcode.Errorf(resultcode.DeadlineBeforeStart, "the deadline passed while the request was queued")
	default:
		return got, resultcode.Errorf(resultcode.NoUpstream, "no upstream of service %s can take the request", s.name)
	}
}

func (s *service) done(a admission.Assignment, o admission.Outcome) {
	s.send(event{kind: eventDone, assignment: a, outcome: o})
}

func schedulerConfig(g *Gateway, sv *serviceView) admission.Config {
	c := admission.Config{
		QueueLimit: sv.config.QueueLimit, OverAllowance: sv.config.OverAllowance, ColdSlots: sv.config.ColdSlots,
		ProbesPerSecond: sv.config.ProbesPerSecond, ProbeBytesPerSecond: sv.config.ProbeBytesPerSecond,
		Weights: make(map[string]int, len(sv.accounts)), Rand: g.deps.Rand,
	}
	for _, class := range sv.config.Classes {
		c.FormerOwnerTimeout = max(c.FormerOwnerTimeout, time.Duration(class.TimeoutMillis)*time.Millisecond+deadlineMargin)
	}
	switch sv.config.Policy {
	case dynconfig.PolicyRandom:
		c.Policy = admission.PolicyRandom
	case dynconfig.PolicyTwoChoices:
		c.Policy = admission.PolicyTwoChoices
	}
	if len(sv.accounts) > 1 {
		// No client account may fill the queue alone. The configuration has no setting for this share.
		c.ClientAccountLimit = max(1, sv.config.QueueLimit/2)
	}
	for _, account := range sv.accounts {
		c.Weights[account.Name] = max(account.Weight, dynconfig.DefaultClientAccountWeight)
	}
	return c
}
