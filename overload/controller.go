package overload

import "time"

const (
	// aloneAfter is the time without reports from replicas after which a gateway decides from its own counts.
	aloneAfter = time.Second
	// keptAlone replaces keptPerInterval for a gateway that decides alone, because it sees only a few requests per second.
	keptAlone = 0.7
	// alertsKept is the part of the alerts that is kept from one interval to the next.
	alertsKept = 0.5
	// ownGain is the weight of an interval in the moving average of this gateway's own demand.
	ownGain = 0.15
	// typicalGain is the weight of a request in the moving average of the work of a request.
	typicalGain = 0.05
)

// Controller decides for the requests of one service at one gateway.
type Controller struct {
	weights       map[uint32]float64 // of accounts, by hash
	defaultWeight float64
	own           Report // since the last Take
	typical       float64
	sums          window
	capacity      capacity
	shares        Shares
	// pressure is the demand in relation to what is admitted.
	pressure float64
	// alerts and ownAlerts are the recent work without room, as reported by all gateways and as seen here, that decide whether all
	// gateways begin to report.
	alerts, ownAlerts float64
	ownDemand         float64   // moving average per interval
	activeUntil       time.Time // reports are sent until then
	sharedAt          time.Time // when the last report came from a replica; after the start of reports at the earliest
	alone             bool
}

// NewController returns a controller that admits all requests until reports show an overload.
func NewController() *Controller { return &Controller{defaultWeight: 1} }

// SetRates sets the requests per second to which accounts are entitled, by name. Accounts of one priority are compared by their
// demand in relation to it. Accounts without a rate count with the mean rate, and all alike if none has one.
func (c *Controller) SetRates(perSecond map[string]float64) {
	c.weights, c.defaultWeight = make(map[uint32]float64, len(perSecond)), 1
	var sum float64
	for name, rate := range perSecond {
		if rate > 0 {
			c.weights[accountHash(name)] = rate
			sum += rate
		}
	}
	if sum > 0 {
		c.defaultWeight = sum / float64(len(c.weights))
	}
}

// Admit counts a request and reports whether to admit it. work is the expected service time in ms, and roll a random number in
// [0, 1).
func (c *Controller) Admit(class Class, work, roll float64) bool {
	if c.typical == 0 {
		c.typical = work
	}
	c.typical += typicalGain * (work - c.typical)
	c.own.addDemand(class, rounded(work))
	if roll < c.shares.Of(class) {
		return true
	}
	c.own.Shed = sum(c.own.Shed, rounded(work))
	return false
}

// Share returns the share of the requests of a class that is admitted.
func (c *Controller) Share(class Class) float64 { return c.shares.Of(class) }

// Placed counts an admitted request that is sent to an upstream. headroom reports whether the upstream had several free slots.
func (c *Controller) Placed(work float64, headroom bool) {
	c.own.Placed = sum(c.own.Placed, rounded(work))
	if headroom {
		c.own.WithHeadroom = sum(c.own.WithHeadroom, rounded(work))
	}
}

// Refused counts an admitted request for which no upstream would have responded in time.
func (c *Controller) Refused(work float64) { c.own.Refused = sum(c.own.Refused, rounded(work)) }

// rounded keeps requests of less than 1 ms countable.
func rounded(work float64) uint32 { return uint32(max(1, min(work, 1<<20))) }

// Take ends a report interval. It returns the counts since the last call, and whether to report them to the other gateways. It must
// be called every report interval.
func (c *Controller) Take(now time.Time) (Report, bool) {
	r := c.own
	r.Reporters, c.own = 1, Report{}
	var demand float64
	for _, work := range r.Demand {
		demand += float64(work)
	}
	c.ownDemand += ownGain * (demand - c.ownDemand)
	c.alerts, c.ownAlerts = alertsKept*c.alerts, alertsKept*c.ownAlerts+float64(r.Refused)
	if !c.active(now) {
		c.sums, c.capacity, c.shares, c.pressure = window{}, 0, Shares{}, 0
		c.extend(c.ownAlerts, now)
		// Gateways that had no refusals do not report yet. The counts of this one alone would be no fair sample.
		return Report{Refused: r.Refused}, r.Refused > 0
	}
	if now.Sub(c.sharedAt) > aloneAfter && !c.alone {
		// The capacity is that of a gateway with the mean demand.
		c.capacity *= capacity(ratio(c.ownDemand, ratio(c.sums.total, c.sums.reporters)))
		c.alone, c.sums = true, window{}
	}
	if c.alone {
		c.sums.add(r)
	}
	c.capacity = c.capacity.update(&c.sums, c.typical, c.shares.limited)
	c.divide()
	if c.shares.limited {
		c.activeUntil = now.Add(calmFor)
	}
	c.extend(c.sums.refused, now)
	c.sums.decay(c.kept())
	return r, true
}

// Merge adds reports of gateways, including this one, that a replica has added up.
func (c *Controller) Merge(r Report, now time.Time) {
	if r.Reporters == 0 {
		c.alerts += float64(r.Refused)
		c.extend(c.alerts, now)
		return
	}
	if !c.active(now) {
		c.extend(float64(r.Refused)+float64(r.Shed), now)
		return
	}
	if c.alone {
		c.alone, c.sums, c.capacity = false, window{}, 0
	}
	c.sharedAt = now
	c.sums.add(r)
	// The first measurement and changes of the demand do not wait for the end of the interval.
	if c.capacity == 0 {
		c.capacity = c.capacity.update(&c.sums, c.typical, false)
	}
	c.divide()
}

// active reports whether reports are sent.
func (c *Controller) active(now time.Time) bool { return now.Before(c.activeUntil) }

// extend lets reports go on if enough work had no room.
func (c *Controller) extend(refused float64, now time.Time) {
	if c.typical > 0 && refused < minRefused*c.typical || refused == 0 {
		return
	}
	if !c.active(now) {
		c.sharedAt, c.alone = now, false
	}
	c.activeUntil = now.Add(calmFor)
}

func (c *Controller) kept() float64 {
	if c.alone {
		return keptAlone
	}
	return keptPerInterval
}

// divide computes the shares from the sums and the capacity.
func (c *Controller) divide() {
	c.shares, c.pressure = Shares{}, 0
	if c.capacity == 0 || c.sums.reporters == 0 {
		return
	}
	budget := c.capacity.admitted(&c.sums, c.typical) * c.sums.reporters
	c.shares = divide(c.sums.demand(c.weight), budget)
	c.pressure = ratio(c.sums.total, budget)
}

// weight returns what the demand of the account of a class is compared with.
func (c *Controller) weight(class Class) float64 {
	if weight, ok := c.weights[class.account()]; ok {
		return weight
	}
	return c.defaultWeight
}
