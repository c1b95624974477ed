package balancing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are refused, wait for what brings nothing, or fill disturbed upstreams, when none is good.
func TestChoose(t *testing.T) {
	p := Preferences{Zone: "z", Target: 300 * time.Millisecond, Left: 2 * time.Second}
	good := Candidate{ID: "good", Zone: "z", Estimate: 100 * time.Millisecond, Free: true, Roomy: true, Quick: true, Undisturbed: true, Verified: true}
	busy := Candidate{ID: "busy", Zone: "z", Estimate: 200 * time.Millisecond, Verified: true}
	full := Candidate{ID: "full", Zone: "z", Estimate: 600 * time.Millisecond, Verified: true}
	slow := Candidate{ID: "slow", Zone: "z", Estimate: 700 * time.Millisecond, Free: true, Disturbed: true, Verified: true}
	stranger := Candidate{ID: "stranger", Zone: "z", Estimate: 250 * time.Millisecond, Free: true, Age: time.Hour}
	four := map[string]bool{"1": true, "2": true, "3": true, "4": true}
	extra := p
	extra.OnlyFree = true
	for _, test := range []struct {
		description string
		preferences Preferences
		ranked      []Candidate
		search      Search
		verdict     Verdict
		best        string
		ask         int
	}{
		{"nothing", p, nil, Search{CanAsk: true}, Absent, "", 0},
		{"a good one", p, []Candidate{good, stranger}, Search{CanAsk: true}, Send, "good", 0},
		{"a busy one and an unknown one", p, []Candidate{busy, stranger}, Search{CanAsk: true}, Wait, "busy", 1},
		{"a busy one after four were asked", p, []Candidate{busy, stranger}, Search{CanAsk: true, Asked: four, Round: 2}, Send, "busy", 0},
		{"a busy one while answers are due", p, []Candidate{busy, stranger}, Search{CanAsk: true, Asked: four, Round: 2, Pending: true}, Wait, "busy", 0},
		{"a busy one and answers are overdue", p, []Candidate{busy, stranger}, Search{CanAsk: true, Asked: four, Round: 2, Pending: true, RoundOver: true}, Send, "busy", 0},
		{"a busy one only", p, []Candidate{busy}, Search{CanAsk: true, Asked: map[string]bool{"busy": true}, Round: 1}, Send, "busy", 0},
		{"an unknown one that does not answer", p, []Candidate{stranger}, Search{CanAsk: true, Asked: map[string]bool{"stranger": true}, Round: 1}, Unknown, "stranger", 0},
		{"a full one", p, []Candidate{full}, Search{CanAsk: true}, Overloaded, "full", 0},
		{"a disturbed one beside a full one", p, []Candidate{full, slow}, Search{CanAsk: true}, Overloaded, "full", 0},
		{"a disturbed one only", p, []Candidate{slow}, Search{CanAsk: true}, Send, "slow", 0},
		{"an extra try and a disturbed one", extra, []Candidate{slow}, Search{CanAsk: true}, Overloaded, "slow", 0},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			choice := test.preferences.Choose(test.ranked, test.search)
			is.Equal(choice.Verdict, test.verdict)
			is.Equal(choice.Best.ID, test.best)
			is.Equal(len(choice.Ask), test.ask)
		})
	}
}
