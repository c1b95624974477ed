package configcheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Harm ranks differences; the lowest number is the most harmful.
type Harm int

// Ranks of differences.
const (
	RemovedKeys     Harm = 1 // requests that were accepted get 401
	RemovedAccount  Harm = 2
	RemovedRoute    Harm = 3
	ChangedRoute    Harm = 4 // another service, kind, host or prefix, a smaller share, or a key is needed
	LoweredRate     Harm = 5
	LoweredTimeout  Harm = 6
	RemovedService  Harm = 7
	OtherDifference Harm = 8
)

// Difference is one difference from the version in force.
type Difference struct {
	Harm    Harm   `json:"harm"`
	Item    string `json:"item,omitempty"`
	Message string `json:"message"`
}

// differences collects differences.
type differences []Difference

func (d *differences) add(harm Harm, item, format string, args ...any) {
	*d = append(*d, Difference{harm, item, fmt.Sprintf(format, args...)})
}

// sorted returns the differences, most harmful first.
func (d differences) sorted() []Difference {
	slices.SortStableFunc(d, func(a, b Difference) int { return cmp.Compare(a.Harm, b.Harm) })
	return d
}

// byName returns pointers to the items by name.
func byName[T any](items []T, name func(*T) string) map[string]*T {
	index := make(map[string]*T, len(items))
	for i := range items {
		index[name(&items[i])] = &items[i]
	}
	return index
}

// pair calls removed, added or both for the items of the two lists, by name.
func pair[T any](before, after []T, name func(*T) string, removed, added func(*T), both func(before, after *T)) {
	old, new := byName(before, name), byName(after, name)
	for i := range before {
		if item := new[name(&before[i])]; item != nil {
			both(&before[i], item)
		} else {
			removed(&before[i])
		}
	}
	for i := range after {
		if old[name(&after[i])] == nil {
			added(&after[i])
		}
	}
}
