package controlstate

import "container/heap"

// claimTable indexes the claims by key, by session and by expiry.
type claimTable struct {
	byKey map[ClaimKey]*claim
	// running holds the running claims of each session.
	running map[uint64]map[*claim]struct{}
	// expiry holds every claim except running ones past their expiry. The requests of those may still run, so they are kept
	// until they are resolved.
	expiry        expiryHeap
	responseBytes int
}

func newClaimTable() claimTable {
	return claimTable{byKey: make(map[ClaimKey]*claim), running: make(map[uint64]map[*claim]struct{})}
}

func (t *claimTable) add(c *claim) {
	t.byKey[c.key] = c
	t.responseBytes += len(c.response)
	heap.Push(&t.expiry, c)
	if c.state == claimRunning {
		t.setRunning(c)
	}
}

func (t *claimTable) setRunning(c *claim) {
	c.state = claimRunning
	if t.running[c.session] == nil {
		t.running[c.session] = make(map[*claim]struct{})
	}
	t.running[c.session][c] = struct{}{}
}

// grant marks a released claim as running again.
func (t *claimTable) grant(c *claim) {
	t.fixExpiry(c)
	t.setRunning(c)
}

// extend extends the expiry of a claim to what a retry requires. A client may send a later time for the same key, and the
// key is accepted until that time expires; dropping the claim earlier would let the request run again.
func (t *claimTable) extend(c *claim, begin *BeginClaim) {
	if begin.KeyUnixMilli > c.createdUnixMilli || begin.HorizonMillis > c.horizonMillis {
		c.createdUnixMilli, c.horizonMillis = max(c.createdUnixMilli, begin.KeyUnixMilli), max(c.horizonMillis, begin.HorizonMillis)
		t.fixExpiry(c)
	}
}

// resolve ends a running claim.
func (t *claimTable) resolve(c *claim, state claimState, response []byte) {
	set := t.running[c.session]
	delete(set, c)
	if len(set) == 0 {
		delete(t.running, c.session)
	}
	c.state, c.response = state, response
	if state != claimReleased {
		c.attemptID = "" // Used only while the claim is running or can be granted again.
	}
	t.responseBytes += len(response)
	if c.heapIndex < 0 {
		heap.Push(&t.expiry, c)
	}
}

func (t *claimTable) fixExpiry(c *claim) {
	if c.heapIndex >= 0 {
		heap.Fix(&t.expiry, c.heapIndex)
	}
}

// markOutcomesUnknown marks the outcome of the running claims of a session as unknown.
func (t *claimTable) markOutcomesUnknown(session uint64) {
	for c := range t.running[session] {
		t.resolve(c, claimOutcomeUnknown, nil)
	}
}

// prune drops expired claims, except running ones, which stay in byKey.
func (t *claimTable) prune(now int64) {
	for len(t.expiry) > 0 && t.expiry[0].expires() < now {
		c := heap.Pop(&t.expiry).(*claim)
		if c.state != claimRunning {
			delete(t.byKey, c.key)
			t.responseBytes -= len(c.response)
		}
	}
}
