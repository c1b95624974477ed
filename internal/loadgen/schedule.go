package loadgen

import (
	"math/rand/v2"
	"time"
)

// schedule draws the intended send times and classes of a run.
type schedule struct {
	random      *rand.Rand
	meanGap     float64 // mean ns between two requests
	uniform     bool
	weights     []float64
	totalWeight float64
	last        float64 // intended send time of the last drawn request, in ns from the start of the run
	end         time.Duration
}

func newSchedule(c Config) *schedule {
	s := &schedule{
		random: rand.New(rand.NewPCG(c.Seed, 1)), meanGap: float64(time.Second) / c.Rate, uniform: c.Uniform,
		end: time.Duration(c.DurationMillis) * time.Millisecond,
	}
	for _, class := range c.Classes {
		s.weights = append(s.weights, class.Weight)
		s.totalWeight += class.Weight
	}
	return s
}

// draw returns the intended send time, from the start of the run, and the class of the next request. ok is false at the
// end of the schedule.
func (s *schedule) draw() (at time.Duration, class int, ok bool) {
	gap := s.meanGap
	if !s.uniform {
		gap *= s.random.ExpFloat64()
	}
	s.last += gap
	at = time.Duration(s.last)
	if at >= s.end {
		return 0, 0, false
	}
	rest := s.random.Float64() * s.totalWeight
	for class = 0; class < len(s.weights)-1 && rest >= s.weights[class]; class++ {
		rest -= s.weights[class]
	}
	return at, class, true
}
