package overload

import (
	"cmp"
	"math"
	"slices"
)

// minShare is the share of each class in relation to that of all requests. Operators count a class that is served less than a
// quarter as often as all as a failure; the rest is margin for the delay of reports.
const minShare = 0.3

// Shares states which share of the requests of each class is admitted. The zero value admits all.
type Shares struct {
	limited bool
	// level is the priority of which a part is admitted. Requests of higher priority are all admitted, and of those of lower
	// priority only the share floor.
	level int
	floor float64
	// levelShare is the part of the demand at the level that is admitted.
	levelShare float64
	// byClass holds the share of the classes at the level.
	byClass map[Class]float64
}

// Of returns the share of the requests of a class that is admitted. An account at the level that had no requests before is below
// any fair share.
func (s *Shares) Of(c Class) float64 {
	switch p := c.Priority(); {
	case !s.limited || p < s.level:
		return 1
	case p > s.level:
		return s.floor
	}
	if share, ok := s.byClass[c]; ok {
		return share
	}
	return 1
}

// classDemand is the demand of one class, in any unit of work.
type classDemand struct {
	class  Class
	work   float64
	weight float64
}

// divide returns the shares at which the admitted part of the demand adds up to budget. Demand and budget are in the same unit.
func divide(demand []classDemand, budget float64) Shares {
	var total float64
	for _, d := range demand {
		total += d.work
	}
	if total <= budget || total == 0 {
		return Shares{}
	}
	s := Shares{limited: true, floor: minShare * budget / total}
	left := budget - s.floor*total
	slices.SortStableFunc(demand, func(a, b classDemand) int { return cmp.Compare(a.class.Priority(), b.class.Priority()) })
	for len(demand) > 0 {
		s.level = demand[0].class.Priority()
		n := 0
		var work float64
		for n < len(demand) && demand[n].class.Priority() == s.level {
			work += demand[n].work
			n++
		}
		if work*(1-s.floor) > left {
			s.levelShare = s.floor + left/work
			s.byClass = divideLevel(demand[:n], s.levelShare*work, s.floor)
			return s
		}
		left -= work * (1 - s.floor)
		demand = demand[n:]
	}
	return Shares{}
}

// divideLevel divides budget among the classes of one priority: by max-min fairness in relation to their weights, but each one gets
// at least the share floor of its demand.
func divideLevel(demand []classDemand, budget, floor float64) map[Class]float64 {
	// The sum of what classes get grows with the fair amount per weight, so that the amount is found by bisection.
	var low, high float64
	for _, d := range demand {
		high = max(high, d.work/d.weight)
	}
	get := func(d classDemand, amount float64) float64 { return max(floor*d.work, min(d.work, amount*d.weight)) }
	for range bisections {
		amount := (low + high) / 2
		var sum float64
		for _, d := range demand {
			sum += get(d, amount)
		}
		if sum > budget {
			high = amount
		} else {
			low = amount
		}
	}
	shares := make(map[Class]float64, len(demand))
	for _, d := range demand {
		shares[d.class] = math.Min(1, get(d, high)/d.work)
	}
	return shares
}

// bisections gives the fair amount to a thousandth of the largest.
const bisections = 10
