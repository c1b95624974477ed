package overload

import (
	"math"
	"time"
)

// State is what a controller bases its decisions on.
type State struct {
	// Limited reports whether less than the demand is admitted. The fields up to Floor apply only then.
	Limited bool
	// Level is the priority of which a part is admitted, LevelShare that part of its demand, and Floor the part of the demand of
	// lower priorities.
	Level             int
	LevelShare, Floor float64
	// Capacity is the work that the upstreams can run in time, and Demand that which arrives, in ms per gateway and second. Capacity
	// is 0 while all requests find room.
	Capacity, Demand float64
	// RefusedShare is the part of the admitted work for which there was no room.
	RefusedShare float64
	// Alone reports whether these are only this gateway's own measurements, and Age is the age of the last report of the others.
	Alone bool
	Age   time.Duration
}

// State returns the current state. intervals is the number of report intervals per second.
func (c *Controller) State(intervals float64, now time.Time) State {
	s := State{
		Limited: c.shares.limited, Level: c.shares.level, Floor: c.shares.floor, Capacity: float64(c.capacity) * intervals,
		Demand: ratio(c.sums.total, c.sums.reporters) * intervals, RefusedShare: c.sums.refusedShare(), Alone: c.alone,
		Age: now.Sub(c.sharedAt),
	}
	if s.Limited {
		s.LevelShare = c.shares.levelShare
	}
	return s
}

// Differs reports whether an operator would see a difference to an earlier state: another level, or another part of the demand.
func (s State) Differs(earlier State) bool {
	const visible = 0.1
	return s.Limited != earlier.Limited || s.Level != earlier.Level || math.Abs(s.LevelShare-earlier.LevelShare) > visible
}
