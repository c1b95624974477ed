package balancing

import "time"

// Preferences are what a request needs.
type Preferences struct {
	// Zone is the zone of the gateway.
	Zone string
	// Target is the latency objective that is left.
	Target time.Duration
	// Large marks long responses, which should not cross zones without need.
	Large bool
	// Exclude are upstreams that had the request already.
	Exclude []string
}

const (
	// comfort is the share of Target below which an upstream of the own zone is good enough, although one elsewhere may be
	// faster: work varies by a third around its mean, so that at 0.6 about 98 of 100 answers are still in time.
	comfort = 0.6
	// comfortLarge is the same for long responses, whose transfer between zones costs more than a late answer here and there.
	comfortLarge = 0.8
)

func (p Preferences) comfortable(estimate time.Duration) bool {
	share := comfort
	if p.Large {
		share = comfortLarge
	}
	return p.Target <= 0 || float64(estimate) <= share*float64(p.Target)
}

func (p Preferences) excludes(id string) bool {
	for _, e := range p.Exclude {
		if e == id {
			return true
		}
	}
	return false
}
