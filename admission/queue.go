package admission

import "slices"

// accountQueue holds the queued requests of one client account at one priority, in order of arrival.
type accountQueue struct {
	name   string
	level  *priorityLevel
	weight float64
	// startTag is the start tag of the account's next request in start-time fair queueing.
	startTag float64
	requests []*Request
}

// priorityLevel holds the queued requests of one priority.
type priorityLevel struct {
	priority int
	// virtualTime is the start tag of the last dispatched request.
	virtualTime float64
	accounts    map[string]*accountQueue
	// active holds the accounts with queued requests, ordered by start tag.
	active []*accountQueue
}

// queue holds all queued requests of a service.
type queue struct {
	levels  []*priorityLevel // In descending order of priority.
	size    int
	weights map[string]int
	// sizeByAccount counts the queued requests of each client account over all priorities.
	sizeByAccount map[string]int
}

func newQueue() queue {
	return queue{sizeByAccount: make(map[string]int)}
}

func (q *queue) weight(account string) float64 {
	if w := q.weights[account]; w > 0 {
		return float64(w)
	}
	return 1
}

func (q *queue) level(priority int) *priorityLevel {
	i, found := slices.BinarySearchFunc(q.levels, priority, func(l *priorityLevel, p int) int { return p - l.priority })
	if !found {
		q.levels = slices.Insert(q.levels, i, &priorityLevel{priority: priority, accounts: make(map[string]*accountQueue)})
	}
	return q.levels[i]
}

func (q *queue) push(r *Request) {
	l := q.level(r.Priority)
	a := l.accounts[r.ClientAccount]
	if a == nil {
		a = &accountQueue{name: r.ClientAccount, level: l}
		l.accounts[r.ClientAccount] = a
	}
	if len(a.requests) == 0 {
		a.startTag = max(a.startTag, l.virtualTime)
		a.weight = q.weight(r.ClientAccount)
		l.activate(a)
	}
	a.requests = append(a.requests, r)
	r.account, r.queued = a, true
	q.size++
	q.sizeByAccount[r.ClientAccount]++
}

func (l *priorityLevel) activate(a *accountQueue) {
	i, _ := slices.BinarySearchFunc(l.active, a.startTag, func(other *accountQueue, start float64) int {
		if other.startTag <= start {
			return -1
		}
		return 1
	})
	l.active = slices.Insert(l.active, i, a)
}

func (l *priorityLevel) deactivate(a *accountQueue) {
	i := slices.Index(l.active, a)
	l.active = slices.Delete(l.active, i, i+1)
}

// remove removes r without charging its client account.
func (q *queue) remove(r *Request) {
	a := r.account
	i := slices.Index(a.requests, r)
	a.requests = slices.Delete(a.requests, i, i+1)
	r.account, r.queued = nil, false
	q.size--
	if q.sizeByAccount[r.ClientAccount]--; q.sizeByAccount[r.ClientAccount] == 0 {
		delete(q.sizeByAccount, r.ClientAccount)
	}
	if len(a.requests) == 0 {
		a.level.deactivate(a)
		a.level.evictIdleAccounts()
	}
}

// dequeue removes r and charges its client account for it.
func (q *queue) dequeue(r *Request) {
	a := r.account
	l := a.level
	l.virtualTime = max(l.virtualTime, a.startTag)
	a.startTag += 1 / a.weight
	if len(a.requests) > 1 {
		l.deactivate(a)
		l.activate(a)
	}
	q.remove(r)
}

// evictIdleAccounts removes accounts that have no requests and whose start tag has passed, if there are more accounts than
// evictionThreshold. Their state is not lost: a new accountQueue would start with the same one.
func (l *priorityLevel) evictIdleAccounts() {
	const evictionThreshold = 64
	if len(l.accounts) <= evictionThreshold {
		return
	}
	for name, a := range l.accounts {
		if len(a.requests) == 0 && a.startTag <= l.virtualTime {
			delete(l.accounts, name)
		}
	}
}

// firstEligible returns the first request, in order of service, that accept permits, or nil if there is none.
func (q *queue) firstEligible(accept func(*Request) bool) *Request {
	for _, l := range q.levels {
		for _, a := range l.active {
			for _, r := range a.requests {
				if accept(r) {
					return r
				}
			}
		}
	}
	return nil
}

// displaceable returns the request to displace in favour of one of the given priority: at the lowest priority below it, the
// newest request of the account with the most queued requests. If sameAccount is set, only requests of the given account
// are considered. It returns nil if there is none.
func (q *queue) displaceable(priority int, account string, sameAccount bool) *Request {
	for i := len(q.levels) - 1; i >= 0; i-- {
		l := q.levels[i]
		if l.priority >= priority {
			return nil
		}
		var longest *accountQueue
		for _, a := range l.active {
			if (!sameAccount || a.name == account) && (longest == nil || len(a.requests) > len(longest.requests)) {
				longest = a
			}
		}
		if longest != nil {
			return longest.requests[len(longest.requests)-1]
		}
	}
	return nil
}
