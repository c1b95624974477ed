package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a shutdown that accepts requests which it must cut, and against one that refuses requests which it could
// serve.
func TestStopPlanAccepts(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		description           string
		grace, arrived, limit time.Duration // since the start of the shutdown; limit is the request's timeout
		once, repeatable      bool          // accepted
	}{
		{"deadline within the grace period", 6 * second, 0, 2 * second, true, true},
		{"late, deadline within the grace period", 6 * second, 3700 * time.Millisecond, 2 * second, true, true},
		{"late, deadline after the last response", 6 * second, 3900 * time.Millisecond, 2 * second, false, false},
		{"timeout longer than the grace period", 6 * second, 0, 10 * second, false, true},
		{"late, timeout longer than the grace period", 6 * second, 3 * second, 10 * second, false, false},
		{"short grace period", 200 * time.Millisecond, 0, 180 * time.Millisecond, true, true},
		{"half of a short grace period is over", 200 * time.Millisecond, 100 * time.Millisecond, second, false, false},
		{"no grace period", 0, 0, second, false, false},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1_800_000_000, 0)
			plan := NewStopPlan(start, test.grace, 3*second)
			arrived := start.Add(test.arrived)
			is.Equal(plan.Accepts(false, arrived, arrived.Add(test.limit)), test.once)
			is.Equal(plan.Accepts(true, arrived, arrived.Add(test.limit)), test.repeatable)
		})
	}
}
