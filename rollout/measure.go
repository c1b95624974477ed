package rollout

import "fmt"

// measure is one of the measures by which versions are compared.
type measure int

const (
	measureFailed  measure = 0
	measureRefused measure = 1
	// From measureNormal on there is one measure for each boundary, for attempts at upstreams that reported normal speed, and from
	// measureAll on for all attempts.
	measureNormal measure = 2
	measureAll    measure = measureNormal + Boundaries
	measures              = int(measureAll) + Boundaries
)

// maxSlow is the share of the old version's responses that may exceed a boundary. A version that is several times slower exceeds
// boundaries that few responses of the old one do; near the usual duration, small differences are chance.
const maxSlow = 0.35

// sensitivity says what difference between the versions a measure takes for a fault.
type sensitivity struct {
	// difference is the least difference of the shares of bad responses, for example 0.5 instead of 0.4.
	difference float64
	// dispersion is the factor by which the shares vary more than those of independent responses.
	dispersion float64
	// baseline is the share of bad responses of the old version above which the measure is not used.
	baseline float64
}

func (m measure) sensitivity() sensitivity {
	switch {
	case m == measureFailed:
		return sensitivity{0.1, 1, 1}
	case m == measureRefused:
		// The few upstreams that are tried may be full for a moment.
		return sensitivity{0.25, 2, 1}
	case m < measureAll:
		return sensitivity{0.17, 1, maxSlow}
	}
	// A quarter to a third of the upstreams are slow for half a second at a time. Among the few that are tried, these are now more,
	// now fewer than among the many of the old version.
	return sensitivity{0.25, 6, maxSlow}
}

// count returns the bad responses and all responses.
func (m measure) count(o *Outcomes) (bad, total float64) {
	switch {
	case m == measureFailed:
		return float64(o.Failed), float64(o.Failed + o.succeeded())
	case m == measureRefused:
		return float64(o.Refused), float64(o.Refused + o.Failed + o.succeeded())
	case m < measureAll:
		return o.Normal.exceeding(int(m - measureNormal))
	}
	return o.All.exceeding(int(m - measureAll))
}

// String returns the measure's name in log lines.
func (m measure) String() string {
	switch {
	case m == measureFailed:
		return "failures"
	case m == measureRefused:
		return "refusals"
	case m < measureAll:
		return fmt.Sprintf("responses over %v of upstreams at normal speed", boundary(int(m-measureNormal)))
	}
	return fmt.Sprintf("responses over %v", boundary(int(m-measureAll)))
}
