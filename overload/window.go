package overload

import (
	"maps"
	"slices"
)

const (
	// keptPerInterval is the weight that a report keeps from one report interval to the next. The mean age of what decides is then
	// about half an interval, so that shares follow the demand within one second including the delay of reports.
	keptPerInterval = 0.35
	// keptByClass replaces it for the demand by class, which only divides a level among accounts: one account sends so few requests
	// that with a shorter memory, accounts of the same demand would get shares that differ by half.
	keptByClass = 0.7
)

// window is the decaying sum of the reports of all gateways.
type window struct {
	reporters, placed, headroom, refused, shed float64
	total                                      float64           // demand
	byPriority                                 map[int]float64   // demand
	byClass                                    map[Class]float64 // demand
}

func (w *window) add(r Report) {
	w.reporters += float64(r.Reporters)
	w.placed += float64(r.Placed)
	w.headroom += float64(r.WithHeadroom)
	w.refused += float64(r.Refused)
	w.shed += float64(r.Shed)
	if w.byClass == nil {
		w.byPriority, w.byClass = make(map[int]float64), make(map[Class]float64, len(r.Demand))
	}
	sums := make(map[int]uint64) // sums of integers do not depend on the order of the classes
	for class, work := range r.Demand {
		sums[class.Priority()] += uint64(work)
		w.byClass[class] += float64(work)
	}
	for priority, work := range sums {
		w.byPriority[priority] += float64(work)
		w.total += float64(work)
	}
}

// decay multiplies the sums by kept, and those by class by the larger one of kept and keptByClass.
func (w *window) decay(kept float64) {
	for _, sum := range []*float64{&w.reporters, &w.placed, &w.headroom, &w.refused, &w.shed, &w.total} {
		*sum *= kept
	}
	for priority := range w.byPriority {
		w.byPriority[priority] *= kept
	}
	for class, work := range w.byClass {
		if work < 1 {
			delete(w.byClass, class)
			continue
		}
		w.byClass[class] = work * max(kept, keptByClass)
	}
}

// demand returns the demand of the classes, in an order that all gateways share. Those of one priority add up to its recent demand.
func (w *window) demand(weight func(Class) float64) []classDemand {
	classes := slices.Sorted(maps.Keys(w.byClass))
	slow := make(map[int]float64, len(w.byPriority))
	for _, class := range classes {
		slow[class.Priority()] += w.byClass[class]
	}
	demand := make([]classDemand, 0, len(classes))
	for _, class := range classes {
		p := class.Priority()
		recent := w.byClass[class] * ratio(w.byPriority[p], slow[p])
		demand = append(demand, classDemand{class: class, work: recent, weight: weight(class)})
	}
	return demand
}

// refusedShare is the share of the admitted work for which there was no room.
func (w *window) refusedShare() float64 { return ratio(w.refused, w.placed+w.refused) }

// headroomShare is the share of the placed work that found an upstream with several free slots.
func (w *window) headroomShare() float64 { return ratio(w.headroom, w.placed) }

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}
