package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet returns a bench with n warm upstreams named a, b, c and so on, and nothing in flight.
func fleet(t *testing.T, n int) (*bench, []string) {
	var ups []Upstream
	var ids []string
	for i := range n {
		id := string(rune('a' + i))
		ups, ids = append(ups, owned(id)), append(ids, id)
	}
	b := newBench(t, testConfig(), ups...)
	for range fullWarm * n {
		for _, id := range ids {
			b.fill(1)
			b.end(id, Outcome{Result: Succeeded, Latency: 4 * time.Millisecond})
		}
	}
	for _, id := range ids {
		for b.end(id, Outcome{Result: Succeeded, Latency: 4 * time.Millisecond}) {
		}
	}
	return b, ids
}

// Guards against a straggler or an upstream that fails fast attracting work because it looks idle.
func TestIdleLooksDoNotAttract(t *testing.T) {
	rows := []struct {
		description string
		bad         Outcome
		after       time.Duration // How long a request on the bad upstream takes.
	}{
		{"fails fast", Outcome{Result: Failed, Latency: time.Millisecond}, 0},
		{"slow", Outcome{Result: Succeeded, Latency: 40 * time.Millisecond}, 40 * time.Millisecond},
		{"slow and its callers go away", Outcome{Result: Neutral, Latency: 40 * time.Millisecond}, 40 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.description, func(t *testing.T) {
			is := is.New(t)
			b, ids := fleet(t, 4)
			bad, total := 0, 0
			var busyUntil time.Time
			for range 400 {
				b.fill(1)
				b.wait(time.Millisecond)
				for _, id := range ids[1:] {
					for b.end(id, Outcome{Result: Succeeded, Latency: 4 * time.Millisecond}) {
						total++
					}
				}
				if n := len(b.running["a"]); n > 0 && busyUntil.IsZero() {
					busyUntil = b.now.Add(row.after)
				}
				if !busyUntil.IsZero() && !b.now.Before(busyUntil) {
					for b.end("a", row.bad) {
						bad++
						total++
					}
					busyUntil = time.Time{}
				}
			}
			is.True(bad*8 < total) // Less than half of an even share.
		})
	}
}

// Guards against requests that wait long on an upstream not counting until they end.
func TestWaitingRequestsCount(t *testing.T) {
	is := is.New(t)
	b, _ := fleet(t, 2)
	b.fill(2)
	is.Equal(len(b.running["a"]), 1)
	b.wait(100 * time.Millisecond)
	b.end("b", Outcome{Result: Succeeded, Latency: 4 * time.Millisecond})
	b.fill(2)
	is.Equal(len(b.running["a"]), 1)
	is.Equal(len(b.running["b"]), 2)
}

// Guards against ejecting more than a third of the upstreams, or the last one, and against ejections that never end.
func TestEjection(t *testing.T) {
	for _, row := range []struct {
		description string
		upstreams   int
		broken      int
		ejected     int
	}{
		{"one of one", 1, 1, 0},
		{"one of two", 2, 1, 0},
		{"one of three", 3, 1, 1},
		{"all of three", 3, 3, 1},
		{"all of seven", 7, 7, 2},
	} {
		t.Run(row.description, func(t *testing.T) {
			is := is.New(t)
			b, ids := fleet(t, row.upstreams)
			fail := func() {
				for range 60 {
					b.fill(4)
					for _, id := range ids[:row.broken] {
						b.end(id, Outcome{Result: Failed, Latency: time.Millisecond})
					}
					for _, id := range ids[row.broken:] {
						b.end(id, Outcome{Result: Succeeded, Latency: 4 * time.Millisecond})
					}
				}
			}
			fail()
			is.Equal(b.s.ejected(b.now), row.ejected)
			if row.ejected == 0 {
				return
			}
			b.wait(ejectBase)
			is.Equal(b.s.ejected(b.now), 0)
			if row.broken > 1 {
				return
			}
			is.Equal(b.s.upstreams["a"].ramp.limit, 1) // Returns at the cold limit.
			fail()
			b.wait(ejectBase)
			is.Equal(b.s.ejected(b.now), 1) // The second time lasts longer.
			// Only two upstreams remain usable: none may be left out.
			b.set(owned("a"), owned("b"))
			is.Equal(b.s.ejected(b.now), 0)
		})
	}
}

// Guards against a baseline policy that queues, limits, or sends work to an upstream that is leaving.
func TestBaselines(t *testing.T) {
	for _, policy := range []Policy{PolicyRandom, PolicyTwoChoices} {
		is := is.New(t)
		cfg := testConfig()
		cfg.Policy = policy
		next := 0
		cfg.Rand = func(n int) int { next++; return next % n }
		leaving := owned("c")
		leaving.Stopping = true
		b := newBench(t, cfg, owned("a"), owned("b"), leaving)
		b.fill(40)
		is.Equal(len(b.running["a"])+len(b.running["b"]), 40)
		is.Equal(len(b.running["c"]), 0)
		is.Equal(len(b.probes), 0)
		b.set(leaving)
		b.enqueue(Request{Value: "late"})
		is.Equal(b.rejected["late"], ReasonNoUpstream)
	}
}
