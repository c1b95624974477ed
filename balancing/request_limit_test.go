package balancing

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/placement"
)

const (
	// limitWindow, limitFactor and limitSlack are the bound of the operators' rules: in any window an upstream gets at most
	// limitFactor times what its limit allows, and limitSlack more. It holds from limitGrace after the limit was first named.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitGrace  = 3 * time.Second
	// reportDelay is the time until a report reaches the other gateways, and responseTime the time until a response names
	// the limit.
	reportDelay  = 300 * time.Millisecond
	responseTime = 100 * time.Millisecond
)

// limitedLoad runs requests of several gateways against upstreams that name a request limit from the start on.
type limitedLoad struct {
	seed                uint64
	gateways, upstreams int
	limit               float64 // of each upstream, per second
	limitedShare        float64 // of the upstreams
	requestsPerSecond   float64
	duration            time.Duration
	// replaceEvery is the interval at which a gateway is replaced by one that has just started. Zero means never.
	replaceEvery time.Duration
	// ownLimits selects the baseline in which each gateway keeps the limit for its own requests only.
	ownLimits bool
}

// limitedResult holds the requests that each limited upstream got after limitGrace, by time, and what callers got.
type limitedResult struct {
	arrivals                  map[string][]time.Duration
	requests, served, refused int
}

// excess returns the largest number of requests beyond the bound in any window.
func (r limitedResult) excess(limit float64) float64 {
	most := math.Inf(-1)
	for _, times := range r.arrivals {
		for i, first := range times {
			end, _ := slices.BinarySearch(times, first+limitWindow)
			most = max(most, float64(end-i)-limitFactor*limit*limitWindow.Seconds()-limitSlack)
		}
	}
	return most
}

type limitedEvent struct {
	at time.Duration
	do func(now time.Time)
}

func (l limitedLoad) run() limitedResult {
	random := rand.New(rand.NewPCG(l.seed, 3))
	epoch := time.Unix(1_800_000_000, 0)
	r := limitedResult{arrivals: make(map[string][]time.Duration)}
	members := make([]placement.Member, l.gateways)
	services := make([]*Service, l.gateways)
	senders := placement.NewSenders()
	register := func(g int, now time.Time) {
		var registrations []Upstream
		for i := range l.upstreams {
			id := fmt.Sprintf("u%03d", i)
			registrations = append(registrations, Upstream{
				ID: id, Address: id, Zone: "z", Incarnation: 1, Slots: 100, Affinity: placement.Score(id, members[g].Name),
				IsSender: func(count int) bool { return l.ownLimits || senders.IsSender(id, members[g].Name, count) },
			})
		}
		services[g].SetUpstreams(registrations, now)
	}
	start := func(g, generation int, now time.Time) {
		members[g] = placement.Member{Name: fmt.Sprintf("g%d-%d", g, generation), Zone: "z"}
		senders.Update(members)
		gateways := l.gateways
		if l.ownLimits {
			gateways = 1
		}
		services[g] = New()
		services[g].Configure(Config{Gateways: gateways})
	}
	for g := range services {
		start(g, 0, epoch)
	}
	for g := range services {
		register(g, epoch)
	}
	var events []limitedEvent
	schedule := func(at time.Duration, do func(time.Time)) {
		i, _ := slices.BinarySearchFunc(events, at, func(e limitedEvent, at time.Duration) int {
			if e.at <= at {
				return -1
			}
			return 1
		})
		events = slices.Insert(events, i, limitedEvent{at, do})
	}
	for n := 1; l.replaceEvery > 0 && time.Duration(n)*l.replaceEvery < l.duration; n++ {
		schedule(time.Duration(n)*l.replaceEvery, func(now time.Time) {
			start(n%l.gateways, n, now)
			for g := range services {
				register(g, now)
			}
		})
	}
	respond := func(g int, id string, at time.Duration) func(time.Time) {
		service := services[g]
		return func(now time.Time) {
			service.End(id, Succeeded, now)
			_, report := service.RecordLimit(id, l.limit, now)
			if !report || l.ownLimits {
				return
			}
			schedule(at+reportDelay, func(now time.Time) {
				for _, other := range services {
					other.RecordReportedLimit(id, l.limit, now)
				}
			})
		}
	}
	requirements := Requirements{Zone: "z", Route: "r", LatencyTarget: time.Second, Target: time.Second, TimeLeft: 5 * time.Second}
	for at := time.Duration(0); at < l.duration; at += time.Duration(random.ExpFloat64() / l.requestsPerSecond * float64(time.Second)) {
		for len(events) > 0 && events[0].at <= at {
			e := events[0]
			events = events[1:]
			e.do(epoch.Add(e.at))
		}
		g, now := random.IntN(l.gateways), epoch.Add(at)
		ranked := services[g].Rank(requirements, now)
		counted := at >= limitGrace
		if counted {
			r.requests++
		}
		if len(ranked) == 0 {
			if counted {
				r.refused++
			}
			continue
		}
		id := ranked[0].ID
		services[g].Begin(id, now)
		if counted {
			r.served++
		}
		var number int
		if _, err := fmt.Sscanf(id, "u%d", &number); err != nil {
			panic(err)
		}
		if float64(number) >= l.limitedShare*float64(l.upstreams) {
			schedule(at+responseTime, func(now time.Time) { services[g].End(id, Succeeded, now) })
			continue
		}
		if counted {
			r.arrivals[id] = append(r.arrivals[id], at)
		}
		schedule(at+responseTime, respond(g, id, at+responseTime))
	}
	return r
}

// Guards against exceeding the request limit that an upstream names to all gateways together, and against refusing requests
// that the limits allow.
func TestRequestLimitsHoldOverAllGateways(t *testing.T) {
	for _, test := range []struct {
		description string
		load        limitedLoad
	}{
		{"some upstreams limited", limitedLoad{gateways: 20, upstreams: 19, limit: 3, limitedShare: 0.7, requestsPerSecond: 107}},
		{"all limited, too many requests", limitedLoad{gateways: 20, upstreams: 19, limit: 3, limitedShare: 1, requestsPerSecond: 107}},
		{"all limited, enough for all", limitedLoad{gateways: 20, upstreams: 19, limit: 9, limitedShare: 1, requestsPerSecond: 107}},
		{"low limits", limitedLoad{gateways: 20, upstreams: 19, limit: 0.3, limitedShare: 0.7, requestsPerSecond: 107}},
		{"many gateways", limitedLoad{gateways: 108, upstreams: 110, limit: 2.4, limitedShare: 1, requestsPerSecond: 524, duration: 10 * time.Second}},
		{"few gateways", limitedLoad{gateways: 2, upstreams: 4, limit: 12, limitedShare: 1, requestsPerSecond: 80}},
		{"gateways are replaced", limitedLoad{gateways: 20, upstreams: 19, limit: 3, limitedShare: 1, requestsPerSecond: 107, replaceEvery: time.Second}},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				l := test.load
				l.seed, l.duration = seed, cmp.Or(l.duration, 30*time.Second)
				r := l.run()
				limited := l.limitedShare * float64(l.upstreams)
				// The share of the requests that the limits allow, or all if there are upstreams without a limit.
				allowed := 1.0
				if l.limitedShare == 1 {
					allowed = min(1, limited*l.limit/l.requestsPerSecond)
				}
				served := float64(r.served) / float64(r.requests)
				t.Logf("seed %d: %.1f requests beyond the bound at most; served %.3f of the requests, allowed %.3f", seed, r.excess(l.limit), served, allowed)
				is.True(r.excess(l.limit) <= 0)
				is.True(served >= 0.9*allowed)
			}
		})
	}
}

// Guards against a limit that each gateway keeps only for its own requests.
func TestRequestLimitOfEachGatewayIsNotEnough(t *testing.T) {
	is := is.New(t)
	r := limitedLoad{gateways: 20, upstreams: 19, limit: 3, limitedShare: 1, requestsPerSecond: 107, duration: 30 * time.Second, ownLimits: true}.run()
	is.True(r.excess(3) > 0)
}

// Guards against a limit that stays in force after the upstream stopped naming it, or that no response confirms any more.
func TestRequestLimitEnds(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		description string
		end         func(*Service)
		after       time.Duration
	}{
		{"a response names none", func(s *Service) { s.RecordLimit("u", NoLimit, now) }, 0},
		{"another gateway reports the end", func(s *Service) { s.RecordReportedLimit("u", NoLimit, now) }, 0},
		{"not confirmed", func(*Service) {}, limitExpiry + time.Millisecond},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			s := New()
			s.Configure(Config{Gateways: 5})
			s.SetUpstreams([]Upstream{{ID: "u", Incarnation: 1, IsSender: func(int) bool { return false }}}, now)
			changed, report := s.RecordLimit("u", 2, now)
			is.True(changed && report)
			is.Equal(len(s.Rank(Requirements{}, now)), 0)
			excluded := s.Excluded()
			is.Equal(excluded.Count(RequestLimit), 1)
			test.end(s)
			is.Equal(len(s.Rank(Requirements{}, now.Add(test.after))), 1)
			is.Equal(s.LimitedUpstreams(), 0)
		})
	}
}
