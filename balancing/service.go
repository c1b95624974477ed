package balancing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialWork is the estimate of the work of a request before any was answered.
	initialWork = 100 * time.Millisecond
	// learnt is the number of answers from which on the mean work is relied on for second tries, and hedgeUnlearnt the share of the
	// target after which they begin before.
	learnt        = 8
	hedgeUnlearnt = 0.6
	// workGain and paceGain are the weights of a new sample in the running means.
	workGain = 0.05
	paceGain = 0.02
	// overdueFactor times the mean work is exceeded by 1 in 10,000 requests if work varies by 30 %.
	overdueFactor = 3
	// estimateSteps is the number of steps of an estimate in the mean work. Estimates are not more exact than that: work varies
	// by 30 %.
	estimateSteps = 4
	// defaultRoundTrip is assumed to upstreams in other zones until it was measured.
	defaultRoundTrip = 2 * time.Millisecond
)

// Config configures a Service.
type Config struct {
	// ColdPerSecond is how many requests per second this gateway may send to a cold upstream that is its share.
	ColdPerSecond float64
	// Verify tells that health responses say whether an upstream is cold, so that it is asked before it is sent anything.
	Verify bool
}

// Service is the state of one service.
type Service struct {
	cfg     Config
	targets map[string]*target
	// work is the mean duration of a request on an undisturbed upstream, and deviation its mean absolute deviation.
	work, deviation time.Duration
	// answers counts those that work was learnt from, up to learnt.
	answers  int
	meanPace float64
	// reports tells that upstreams report their pace.
	reports bool

	// Memory of Rank: the candidates as found, their order, and the result.
	found, ranked []Candidate
	order         []position
}

// New returns a service without upstreams.
func New() *Service {
	return &Service{targets: make(map[string]*target), work: initialWork, deviation: initialWork / 4, meanPace: 1}
}

// Configure replaces the configuration.
func (s *Service) Configure(cfg Config) { s.cfg = cfg }

// SetUpstreams replaces the upstreams that may get requests. State of those that stay is kept.
func (s *Service) SetUpstreams(upstreams []Upstream, now time.Time) {
	next := make(map[string]*target, len(upstreams))
	for _, u := range upstreams {
		t := s.targets[u.ID]
		if t == nil || t.Born != u.Born || t.Address != u.Address {
			// An upstream that has just been announced gets no cold allowance for the time before.
			t = &target{Upstream: u, coldAt: now}
		} else {
			until := t.ColdUntil
			t.Upstream = u
			if until.After(u.ColdUntil) {
				t.ColdUntil = until // its own word is newer than the registry's
			}
		}
		next[u.ID] = t
	}
	s.targets = next
}

// Rank returns the upstreams that may get a request now, the best first. Those that failed recently come last; then
// comfortable ones in the own zone come first; then the shortest estimate decides, and between equal ones the affinity.
// The result is valid until the next call.
func (s *Service) Rank(p Preferences, now time.Time) []Candidate {
	step := max(s.work/estimateSteps, time.Millisecond)
	s.found, s.order = s.found[:0], s.order[:0]
	for _, t := range s.targets {
		if p.excludes(t.ID) || t.moved || now.Before(t.away) {
			continue
		}
		cold := t.cold(now)
		if cold && s.cfg.ColdPerSecond > 0 && (!t.ColdShare || t.coldAllowance(now, s.cfg.ColdPerSecond) < 1) {
			continue
		}
		c := Candidate{
			ID: t.ID, Address: t.Address, Zone: t.Zone, Cold: cold, Estimate: s.estimate(t, p, now),
			Load: t.load, Age: s.age(t, now), Suspect: t.suspect(now), Free: t.occupied(now) < t.slots(),
			Undisturbed: t.undisturbed(now), Disturbed: t.disturbed(now),
			Verified: cold || !s.cfg.Verify || now.Sub(t.checkedAt) <= verifiedFor,
		}
		c.Roomy = t.roomy(now)
		c.Quick = float64(c.Estimate-t.roundTrip) <= quickFactor*float64(s.work)
		s.order = append(s.order, p.position(&c, step, t.Affinity, len(s.found)))
		s.found = append(s.found, c)
	}
	slices.SortFunc(s.order, func(a, b position) int {
		if order := a.compare(b); order != 0 {
			return order
		}
		return cmp.Compare(s.found[a.index].ID, s.found[b.index].ID)
	})
	s.ranked = s.ranked[:0]
	for _, position := range s.order {
		s.ranked = append(s.ranked, s.found[position.index])
	}
	return s.ranked
}

func (s *Service) age(t *target, now time.Time) time.Duration {
	if t.loadAt.IsZero() {
		return time.Hour
	}
	return now.Sub(t.loadAt)
}

// estimate returns the expected time until the answer to a request sent now.
func (s *Service) estimate(t *target, p Preferences, now time.Time) time.Duration {
	slots, occupied := t.slots(), t.occupied(now)
	work := float64(s.work) * t.pace(now, s.meanPace)
	if t.cold(now) {
		work *= coldFactor
	}
	if float64(occupied+1) > kneeShare*float64(slots) {
		work *= kneeFactor
	}
	if occupied >= slots {
		work *= 1 + float64(occupied-slots+1)/float64(slots)
	} else {
		work *= 1 + 0.1*float64(occupied)/float64(slots) // spreads equal ones
	}
	roundTrip := t.roundTrip
	if roundTrip == 0 && t.Zone != p.Zone {
		roundTrip = defaultRoundTrip
	}
	return time.Duration(work) + roundTrip
}

// Begin records that a request is being sent.
func (s *Service) Begin(id string, now time.Time) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.inflight++
	t.sentSince++
	if t.cold(now) {
		t.coldAllowance(now, s.cfg.ColdPerSecond)
		t.coldTokens--
	}
}

// End records how a request ended.
func (s *Service) End(id string, outcome Outcome, now time.Time) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.inflight = max(0, t.inflight-1)
	switch outcome {
	case Answered:
		t.noteSuccess(now)
		t.awayFor = 0
	case Failed:
		t.noteFailure(now)
	case Shed:
		t.load.Waiting++
	case Moved:
		t.moved = true
	case Unreachable:
		s.Lost(id, now)
	}
}

// Learn updates the mean work from an answer that took so long. Where upstreams report their load, only those count that were
// undisturbed when the request was sent: a load that is as old as the answer says little about the pace at which it was made.
func (s *Service) Learn(c Candidate, took time.Duration) {
	if s.reports && !c.Undisturbed {
		return
	}
	sample := float64(took)
	if s.answers < learnt {
		s.answers++
	}
	// The first answers count alike, because a gateway of a large deployment gets few, and hedges too early until it knows better.
	gain := max(workGain, 1/float64(s.answers))
	if s.answers > 1 {
		sample = min(sample, 4*float64(s.work)) // one answer must not change everything
	}
	difference := sample - float64(s.work)
	s.work += time.Duration(gain * difference)
	if difference < 0 {
		difference = -difference
	}
	s.deviation += time.Duration(gain * (difference - float64(s.deviation)))
}

// Observe takes over the load that an upstream reported.
func (s *Service) Observe(id string, l Load, now time.Time) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.load, t.loadAt, t.sentSince = l, now, 0
	if l.Pace > 0 {
		s.reports = true
		s.meanPace += paceGain * (l.Pace - s.meanPace)
	}
}

// ObserveProbe takes over what a health response says.
func (s *Service) ObserveProbe(id string, healthy bool, warmupLeft, roundTrip time.Duration, now time.Time) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.awayFor, t.away = 0, time.Time{}
	t.roundTrip, t.checkedAt = roundTrip, now
	wasCold := t.cold(now)
	t.ColdUntil = now.Add(warmupLeft)
	if !wasCold && warmupLeft > 0 {
		t.coldAt, t.coldTokens = now, 0
	}
	if !healthy {
		t.away = now.Add(unreachableFor)
	}
}

// ObserveReported takes over that other gateways saw requests to an upstream fail, or could not reach it. It returns whether
// the upstream is suspected because of that and was not before. With many gateways, each sends too few requests to an upstream
// to find out by itself.
func (s *Service) ObserveReported(id string, failures int, now time.Time) bool {
	t := s.targets[id]
	if t == nil {
		return false
	}
	before := t.suspect(now)
	t.reported, t.reportedAt = min(reportedMax, t.reportedScore(now)+reportedWeight*float64(failures)), now
	return !before && t.suspect(now)
}

// Undisturbed tells whether an upstream's current load shows that requests run there at their usual speed.
func (s *Service) Undisturbed(id string, now time.Time) bool {
	t := s.targets[id]
	return t != nil && t.undisturbed(now)
}

// Lost records that an upstream could not be reached, or gave no answer to a probe.
func (s *Service) Lost(id string, now time.Time) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.awayFor = min(max(2*t.awayFor, unreachableFor), unreachableForMax)
	t.away = now.Add(t.awayFor)
}

// HedgeAfter returns how long an answer may be awaited before a second upstream is asked: longer than nearly all answers of
// undisturbed upstreams, and early enough for the second answer to be in time for target.
func (s *Service) HedgeAfter(target time.Duration) time.Duration {
	if s.answers < learnt && target > 0 {
		return time.Duration(hedgeUnlearnt * float64(target))
	}
	usual := s.work + 3*s.deviation
	if latest := target - s.work - s.deviation; target > 0 && latest > s.work+s.deviation {
		return min(usual, latest)
	}
	return usual
}

// OverdueAfter returns after which time an undisturbed upstream should have answered any request with a target. The mean work
// may not have been learnt yet.
func (s *Service) OverdueAfter(target time.Duration) time.Duration {
	return max(overdueFactor*s.work, target)
}

// Work returns the mean duration of a request on an undisturbed upstream.
func (s *Service) Work() time.Duration { return s.work }
