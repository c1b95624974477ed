package overload

// maxClasses bounds the classes of a service in a report. Further ones count as requests without an account of their priority.
const maxClasses = 1024

// Report counts the work of one service at one or more gateways in one report interval each, in ms.
type Report struct {
	// Reporters is the number of reports of single gateways that are added up.
	Reporters uint32 `cbor:"1,keyasint"`
	// Placed is the work that was sent to an upstream. WithHeadroom is the part of it for which the upstream had several free slots.
	Placed       uint32 `cbor:"2,keyasint,omitempty"`
	WithHeadroom uint32 `cbor:"3,keyasint,omitempty"`
	// Refused is the admitted work for which no upstream would have responded in time.
	Refused uint32 `cbor:"4,keyasint,omitempty"`
	// Shed is the work that was not admitted.
	Shed uint32 `cbor:"5,keyasint,omitempty"`
	// Demand is the work that arrived, admitted or not, by class.
	Demand map[Class]uint32 `cbor:"6,keyasint,omitempty"`
}

// Add adds the counts of another report.
func (r *Report) Add(more Report) {
	r.Reporters = sum(r.Reporters, more.Reporters)
	r.Placed = sum(r.Placed, more.Placed)
	r.WithHeadroom = sum(r.WithHeadroom, more.WithHeadroom)
	r.Refused = sum(r.Refused, more.Refused)
	r.Shed = sum(r.Shed, more.Shed)
	for class, work := range more.Demand {
		r.addDemand(class, work)
	}
}

// Clone returns a copy that shares no memory with r.
func (r Report) Clone() Report {
	demand := r.Demand
	r.Demand = make(map[Class]uint32, len(demand))
	for class, work := range demand {
		r.Demand[class] = work
	}
	return r
}

func (r *Report) addDemand(class Class, work uint32) {
	if r.Demand == nil {
		r.Demand = make(map[Class]uint32)
	}
	if _, known := r.Demand[class]; !known && len(r.Demand) >= maxClasses {
		class = NewClass(class.Priority(), "")
	}
	r.Demand[class] = sum(r.Demand[class], work)
}

// sum adds counts that may come from a faulty message.
func sum(a, b uint32) uint32 {
	if a+b < a {
		return 1<<32 - 1
	}
	return a + b
}
