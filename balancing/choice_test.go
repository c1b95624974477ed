package balancing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusing a request too early, waiting without need, or filling slow upstreams when no candidate is
// good.
func TestChoose(t *testing.T) {
	requirements := Requirements{Zone: "z", Target: 300 * time.Millisecond, TimeLeft: 2 * time.Second}
	good := Candidate{ID: "good", Zone: "z", Estimate: 100 * time.Millisecond, HasFreeSlot: true, HasHeadroom: true, NearMeanServiceTime: true, NormalSpeed: true, Verified: true}
	busy := Candidate{ID: "busy", Zone: "z", Estimate: 200 * time.Millisecond, Verified: true}
	full := Candidate{ID: "full", Zone: "z", Estimate: 600 * time.Millisecond, Verified: true}
	slow := Candidate{ID: "slow", Zone: "z", Estimate: 700 * time.Millisecond, HasFreeSlot: true, Slow: true, Verified: true}
	unknown := Candidate{ID: "unknown", Zone: "z", Estimate: 250 * time.Millisecond, HasFreeSlot: true, Age: time.Hour}
	fourProbed := map[string]bool{"1": true, "2": true, "3": true, "4": true}
	retry := requirements
	retry.OnlyFreeSlots = true
	lateRetry := retry
	lateRetry.Target = -time.Second
	nearlyFull := Candidate{ID: "nearlyFull", Zone: "z", Estimate: 200 * time.Millisecond, HasFreeSlot: true, Verified: true}
	for _, test := range []struct {
		description  string
		requirements Requirements
		ranked       []Candidate
		search       Search
		decision     Decision
		best         string
		probes       int
	}{
		{"no candidates", requirements, nil, Search{CanProbe: true}, NoUpstream, "", 0},
		{"good", requirements, []Candidate{good, unknown}, Search{CanProbe: true}, Send, "good", 0},
		{"busy, and one with unknown load", requirements, []Candidate{busy, unknown}, Search{CanProbe: true}, Wait, "busy", 1},
		{"busy, after four probes", requirements, []Candidate{busy, unknown}, Search{CanProbe: true, Probed: fourProbed, Round: 2}, Send, "busy", 0},
		{"busy, probes pending", requirements, []Candidate{busy, unknown}, Search{CanProbe: true, Probed: fourProbed, Round: 2, Pending: true}, Wait, "busy", 0},
		{"busy, probes pending and round over", requirements, []Candidate{busy, unknown}, Search{CanProbe: true, Probed: fourProbed, Round: 2, Pending: true, RoundOver: true}, Send, "busy", 0},
		{"only a busy one", requirements, []Candidate{busy}, Search{CanProbe: true, Probed: map[string]bool{"busy": true}, Round: 1}, Send, "busy", 0},
		{"unknown load, no response to the probe", requirements, []Candidate{unknown}, Search{CanProbe: true, Probed: map[string]bool{"unknown": true}, Round: 1}, Unresponsive, "unknown", 0},
		{"full", requirements, []Candidate{full}, Search{CanProbe: true}, Overloaded, "full", 0},
		{"slow and full", requirements, []Candidate{full, slow}, Search{CanProbe: true}, Overloaded, "full", 0},
		{"only a slow one", requirements, []Candidate{slow}, Search{CanProbe: true}, Send, "slow", 0},
		{"retry, only a slow one", retry, []Candidate{slow}, Search{CanProbe: true}, Overloaded, "slow", 0},
		{"retry after the target, spare capacity", lateRetry, []Candidate{good}, Search{CanProbe: true}, Send, "good", 0},
		{"retry after the target, a slot but no spare capacity", lateRetry, []Candidate{nearlyFull}, Search{CanProbe: true}, Overloaded, "nearlyFull", 0},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			choice := test.requirements.Choose(test.ranked, test.search)
			is.Equal(choice.Decision, test.decision)
			is.Equal(choice.Best.ID, test.best)
			is.Equal(len(choice.Probe), test.probes)
		})
	}
}
