package rollout

import "time"

const (
	// Boundaries is the number of durations with which responses are compared. They cover 16 ms to 8.2 s.
	Boundaries = 10
	// firstBoundary is the first of these durations; each is twice the one before. A version that is 3 times slower exceeds at least
	// one more boundary with most of its responses.
	firstBoundary = 16 * time.Millisecond
)

// boundary returns the i-th duration with which responses are compared.
func boundary(i int) time.Duration { return firstBoundary << i }

// Durations counts attempts by their duration.
type Durations struct {
	_ struct{} `cbor:",toarray"`
	// Within counts the successful responses by the first boundary that they did not exceed; the last element counts the others.
	Within [Boundaries + 1]uint64
	// Over counts, for each boundary, the attempts that have taken longer, whether or not they have ended. An attempt that was
	// cancelled, for example because a hedge was faster, counts here only.
	Over [Boundaries]uint64
}

// exceeding returns the number of attempts that exceed a boundary, and of those of which it is known whether they do.
func (d *Durations) exceeding(b int) (over, decided float64) {
	n := d.Over[b]
	for i := 0; i <= b; i++ {
		n += d.Within[i]
	}
	return float64(d.Over[b]), float64(n)
}

func (d *Durations) sub(earlier *Durations) Durations {
	var added Durations
	for i := range d.Within {
		added.Within[i] = less(d.Within[i], earlier.Within[i])
	}
	for i := range d.Over {
		added.Over[i] = less(d.Over[i], earlier.Over[i])
	}
	return added
}

func (d *Durations) add(more *Durations) {
	for i := range d.Within {
		d.Within[i] += more.Within[i]
	}
	for i := range d.Over {
		d.Over[i] += more.Over[i]
	}
}
