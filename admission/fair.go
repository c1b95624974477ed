package admission

import "slices"

// tenantQueue holds the waiting requests of one tenant at one priority, in order of arrival.
type tenantQueue struct {
	name   string
	level  *level
	weight float64
	// start is the virtual time at which the tenant's next request is due (start-time fair queueing).
	start    float64
	requests []*Request
}

// level holds the waiting requests of one priority.
type level struct {
	priority int
	// virtual is the start tag of the request dispatched last.
	virtual float64
	tenants map[string]*tenantQueue
	// active are the tenants with waiting requests, the one due first in front.
	active []*tenantQueue
}

// queue holds all waiting requests of a service.
type queue struct {
	levels  []*level // Descending by priority.
	size    int
	weights map[string]int
	// tenantSize counts the waiting requests of each tenant over all priorities.
	tenantSize map[string]int
}

func newQueue() queue {
	return queue{tenantSize: make(map[string]int)}
}

func (q *queue) weight(tenant string) float64 {
	if w := q.weights[tenant]; w > 0 {
		return float64(w)
	}
	return 1
}

func (q *queue) level(priority int) *level {
	i, found := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int { return p - l.priority })
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority, tenants: make(map[string]*tenantQueue)})
	}
	return q.levels[i]
}

func (q *queue) push(r *Request) {
	l := q.level(r.Priority)
	t := l.tenants[r.Tenant]
	if t == nil {
		t = &tenantQueue{name: r.Tenant, level: l}
		l.tenants[r.Tenant] = t
	}
	if len(t.requests) == 0 {
		t.start = max(t.start, l.virtual)
		t.weight = q.weight(r.Tenant)
		l.activate(t)
	}
	t.requests = append(t.requests, r)
	r.tenant, r.queued = t, true
	q.size++
	q.tenantSize[r.Tenant]++
}

func (l *level) activate(t *tenantQueue) {
	i, _ := slices.BinarySearchFunc(l.active, t.start, func(a *tenantQueue, start float64) int {
		if a.start <= start {
			return -1
		}
		return 1
	})
	l.active = slices.Insert(l.active, i, t)
}

func (l *level) deactivate(t *tenantQueue) {
	i := slices.Index(l.active, t)
	l.active = slices.Delete(l.active, i, i+1)
}

// remove takes r out without charging its tenant.
func (q *queue) remove(r *Request) {
	t := r.tenant
	i := slices.Index(t.requests, r)
	t.requests = slices.Delete(t.requests, i, i+1)
	r.tenant, r.queued = nil, false
	q.size--
	if q.tenantSize[r.Tenant]--; q.tenantSize[r.Tenant] == 0 {
		delete(q.tenantSize, r.Tenant)
	}
	if len(t.requests) == 0 {
		t.level.deactivate(t)
		t.level.forgetIdle()
	}
}

// serve takes r out and charges its tenant for it.
func (q *queue) serve(r *Request) {
	t := r.tenant
	l := t.level
	l.virtual = max(l.virtual, t.start)
	t.start += 1 / t.weight
	if len(t.requests) > 1 {
		l.deactivate(t)
		l.activate(t)
	}
	q.remove(r)
}

// forgetIdle drops tenants without requests whose start has passed, once there are many: a new record would be equal.
func (l *level) forgetIdle() {
	const keep = 64
	if len(l.tenants) <= keep {
		return
	}
	for name, t := range l.tenants {
		if len(t.requests) == 0 && t.start <= l.virtual {
			delete(l.tenants, name)
		}
	}
}

// first returns the first request in order of service that ok accepts, or nil.
func (q *queue) first(ok func(*Request) bool) *Request {
	for _, l := range q.levels {
		for _, t := range l.active {
			for _, r := range t.requests {
				if ok(r) {
					return r
				}
			}
		}
	}
	return nil
}

// last returns the request to displace for one of the given priority: of the lowest priority below it, the newest request
// of the tenant with most waiting. With a tenant, only that tenant's requests are considered. It returns nil if there is
// none.
func (q *queue) last(priority int, tenant string, oneTenant bool) *Request {
	for i := len(q.levels) - 1; i >= 0; i-- {
		l := q.levels[i]
		if l.priority >= priority {
			return nil
		}
		var longest *tenantQueue
		for _, t := range l.active {
			if (!oneTenant || t.name == tenant) && (longest == nil || len(t.requests) > len(longest.requests)) {
				longest = t
			}
		}
		if longest != nil {
			return longest.requests[len(longest.requests)-1]
		}
	}
	return nil
}
