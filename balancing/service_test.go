package balancing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_800_000_000, 0)

func upstreams(n int, change func(*Upstream)) []Upstream {
	list := make([]Upstream, n)
	for i := range list {
		list[i] = Upstream{ID: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z", Incarnation: 1, Slots: 3}
		if change != nil {
			change(&list[i])
		}
	}
	return list
}

func ids(candidates []Candidate) []string {
	list := []string{}
	for _, c := range candidates {
		list = append(list, c.ID)
	}
	return list
}

// Guards against exceeding the allowed rate of requests to a cold upstream, and against sending it none at all.
func TestColdUpstreams(t *testing.T) {
	for _, test := range []struct {
		description string
		owner       bool
		most, least int // requests in 10 s when 5 per second are allowed
	}{
		{"this gateway owns it", true, 51, 45},
		{"another gateway owns it", false, 0, 0},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			s := New()
			s.Configure(Config{ColdPerSecond: 5, VerifyWarm: true})
			s.SetUpstreams(upstreams(1, func(u *Upstream) {
				u.ColdUntil, u.ColdOwner = epoch.Add(time.Minute), func() bool { return test.owner }
			}), epoch)
			var sent []time.Time
			for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(7 * time.Millisecond) {
				for _, c := range s.Rank(Requirements{Zone: "z"}, now) {
					is.True(c.Verified)
					s.Begin(c.ID, now)
					s.End(c.ID, Succeeded, now)
					sent = append(sent, now)
				}
			}
			is.True(len(sent) <= test.most && len(sent) >= test.least)
			for i := 6; i < len(sent); i++ {
				is.True(sent[i].Sub(sent[i-6]) > time.Second) // at most the rate plus one burst in any second
			}
		})
	}
}

// Guards against requests to upstreams that became cold after their last probe: after a zone had returned cold, an
// upstream got 17 requests in a second instead of at most 16.4. An upstream that no recent probe confirmed as warm must
// be probed first.
func TestUpstreamsAreVerifiedBeforeUse(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Configure(Config{ColdPerSecond: 5, VerifyWarm: true})
	s.SetUpstreams(upstreams(2, nil), epoch)
	for _, c := range s.Rank(Requirements{}, epoch) {
		is.True(!c.Verified) // never probed
	}
	s.RecordProbe("u0", true, 0, time.Millisecond, epoch)
	s.RecordProbe("u1", true, 2*time.Second, time.Millisecond, epoch) // cold, and not owned by this gateway
	ranked := s.Rank(Requirements{}, epoch)
	is.Equal(ids(ranked), []string{"u0"})
	is.True(ranked[0].Verified)
	is.True(!s.Rank(Requirements{}, epoch.Add(verifiedFor+1))[0].Verified) // the probe is too old
}

// Guards against ranking a slow, full, suspect or remote upstream first when there is a better one.
func TestRank(t *testing.T) {
	local := Requirements{Zone: "z", Target: 300 * time.Millisecond}
	for _, test := range []struct {
		description  string
		prepare      func(*Service)
		requirements Requirements
		first        string
	}{
		{"slow", func(s *Service) { s.RecordLoad("u0", Load{Slots: 3, Slowdown: 7}, epoch) }, local, "u1"},
		{"full", func(s *Service) { s.RecordLoad("u0", Load{Running: 3, Slots: 3, Slowdown: 1}, epoch) }, local, "u1"},
		{"failed recently", func(s *Service) { s.Begin("u0", epoch); s.End("u0", Failed, epoch) }, local, "u1"},
		{"unreachable", func(s *Service) { s.RecordUnreachable("u0", epoch) }, local, "u1"},
		{"address reassigned", func(s *Service) { s.End("u0", AddressReassigned, epoch) }, local, "u1"},
		{"excluded", func(*Service) {}, Requirements{Zone: "z", Target: time.Second, Exclude: []string{"u0"}}, "u1"},
		{"remote if the local ones are slow", func(s *Service) {
			for _, id := range []string{"u0", "u1"} {
				s.RecordLoad(id, Load{Slots: 3, Slowdown: 7}, epoch)
			}
		}, local, "remote"},
		{"local although it is busier", func(s *Service) {
			s.RecordLoad("u0", Load{Running: 1, Slots: 3, Slowdown: 1}, epoch)
			s.RecordLoad("u1", Load{Running: 1, Slots: 3, Slowdown: 1}, epoch)
		}, local, "u0"},
	} {
		t.Run(test.description, func(t *testing.T) {
			s := New()
			list := append(upstreams(2, nil), Upstream{ID: "remote", Address: "10.0.1.1:80", Zone: "y", Incarnation: 1, Slots: 3})
			s.SetUpstreams(list, epoch)
			test.prepare(s)
			is.New(t).Equal(s.Rank(test.requirements, epoch)[0].ID, test.first)
		})
	}
}

// Guards against requests that queue at a busy upstream until they are late and displace others that could be in time.
func TestAdmits(t *testing.T) {
	requirements := Requirements{Target: 600 * time.Millisecond, TimeLeft: 1500 * time.Millisecond}
	retry := requirements
	retry.OnlyFreeSlots = true
	for _, test := range []struct {
		description  string
		requirements Requirements
		estimate     time.Duration
		free         bool
		admits       bool
	}{
		{"in time, free", requirements, 300 * time.Millisecond, true, true},
		{"in time, busy", requirements, 500 * time.Millisecond, false, true},
		{"late, free", requirements, 900 * time.Millisecond, true, true},
		{"late, busy", requirements, 700 * time.Millisecond, false, false},
		{"after the deadline, free", requirements, 1400 * time.Millisecond, true, false},
		{"retry, in time, free", retry, 300 * time.Millisecond, true, true},
		{"retry, in time, busy", retry, 500 * time.Millisecond, false, false},
		{"retry, late, free", retry, 900 * time.Millisecond, true, false},
	} {
		t.Run(test.description, func(t *testing.T) {
			got := test.requirements.Admits(Candidate{Estimate: test.estimate, HasFreeSlot: test.free})
			is.New(t).Equal(got, test.admits)
		})
	}
}

// Guards against an upstream that stays suspect or unreachable for ever, and against using an unreachable one again at
// once.
func TestFailuresExpire(t *testing.T) {
	is := is.New(t)
	s := New()
	s.SetUpstreams(upstreams(1, nil), epoch)
	s.End("u0", Failed, epoch)
	is.True(s.Rank(Requirements{}, epoch)[0].Suspect)
	is.True(!s.Rank(Requirements{}, epoch.Add(3*failureDecay))[0].Suspect)
	s.RecordUnreachable("u0", epoch)
	is.Equal(len(s.Rank(Requirements{}, epoch)), 0)
	is.Equal(len(s.Rank(Requirements{}, epoch.Add(maxBackoff))), 1)
}

// Guards against applying the state of a former process to its successor.
func TestNewIncarnationResetsState(t *testing.T) {
	is := is.New(t)
	s := New()
	s.SetUpstreams(upstreams(1, nil), epoch)
	s.End("u0", AddressReassigned, epoch)
	is.Equal(len(s.Rank(Requirements{}, epoch)), 0)
	s.SetUpstreams(upstreams(1, func(u *Upstream) { u.Incarnation = 2 }), epoch)
	is.Equal(len(s.Rank(Requirements{}, epoch)), 1)
}

// Guards against hedges that start before most responses arrive because the mean service time is not known yet. A
// gateway of a large deployment gets one response per second, and the service time is two to three times the initial
// assumption.
func TestServiceTimeIsEstimatedFromTheFirstResponses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := New()
	s.SetUpstreams([]Upstream{{ID: "a", Slots: 3}}, now)
	random := rand.New(rand.NewPCG(1, 2))
	const serviceTime, target = 260 * time.Millisecond, 600 * time.Millisecond
	r := Requirements{Route: "r", LatencyTarget: target, Target: target}
	is.True(s.HedgeDelay(r) > serviceTime)
	for range 12 {
		took := time.Duration((0.8 + 0.4*random.Float64()) * float64(serviceTime))
		s.RecordServiceTime(r, Candidate{ID: "a"}, took)
		is.True(s.HedgeDelay(r) > serviceTime)
	}
	is.True(s.ServiceTime(r) > serviceTime*9/10 && s.ServiceTime(r) < serviceTime*11/10)
}

// Guards against a mean service time that is too small, so that hedges start too early. A response must be classified
// by the load at the time of sending: when it arrives, the last known load may be as old as the request.
func TestServiceTimeIsEstimatedAtNormalSpeedOnly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := New()
	s.SetUpstreams([]Upstream{{ID: "a", Slots: 3}, {ID: "b", Slots: 3}}, now)
	for range 200 { // the mean slowdown over both is 4
		s.RecordLoad("a", Load{Slots: 3, Slowdown: 1}, now)
		s.RecordLoad("b", Load{Slots: 3, Slowdown: 7}, now)
	}
	const serviceTime = 260 * time.Millisecond
	r := Requirements{Zone: "z"}
	for range 20 {
		for _, c := range s.Rank(r, now) {
			took := serviceTime
			if c.ID == "b" {
				took = 7 * serviceTime
			}
			s.RecordServiceTime(r, c, took)
		}
	}
	is.Equal(s.ServiceTime(r).Round(time.Millisecond), serviceTime)
}
