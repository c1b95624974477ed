// Package crashguard detects requests that crash the upstreams that run them.
//
// An upstream counts as lost if a connection was cut while it ran requests and, within ConfirmWindow, it refused a
// connection or reported a new boot id. A cut alone is not sufficient, because network failures cut connections too.
//
// Of the requests that were running when the first connection was cut, at most one becomes suspect: the only one, or
// else the one that started last if it started within RecentStartWindow before the cut. A sole request scores
// SoleScore, the most recent of several scores RecentScore. Losses are distinguished by upstream and boot id, and each
// counts once. Once a fingerprint has reached BlockScore, this gateway refuses requests with it until SuspicionTTL after
// the last loss. A single loss never blocks a request.
//
// A Guard belongs to one service and is safe for concurrent use.
package crashguard

import (
	"sync"
	"time"
)

// Parameters of the detection, see the package comment.
const (
	ConfirmWindow     = 5 * time.Second
	RecentStartWindow = 2 * time.Second
	SuspicionTTL      = 10 * time.Minute
	SoleScore         = 2
	RecentScore       = 1
	BlockScore        = 4
	// maxRefusalLead is how long before a cut the refused connection that confirms it may have been recorded. Different
	// goroutines record the two, so their order is not fixed.
	maxRefusalLead = 100 * time.Millisecond
	// maxSuspicions bounds the number of suspicions, and so the memory of a guard.
	maxSuspicions = 1024
)

// Suspect is a request that may have crashed an upstream.
type Suspect struct {
	Fingerprint string
	UpstreamID  string
	BootID      string
	// Sole reports whether it was the only request running on the upstream.
	Sole bool
}

// Guard tracks the requests of one service that are in flight.
type Guard struct {
	mu         sync.Mutex
	upstreams  map[string]*upstream
	suspicions map[string]*suspicion
	blocked    map[string]int64
	lastID     uint64
}

type upstream struct {
	bootID string
	// previousBootID is the boot id before bootID. A delayed view or response may still carry it.
	previousBootID string
	running        []runningRequest
	cut            *cut
	// refusedAt is the time at which the upstream last refused a connection.
	refusedAt time.Time
}

type runningRequest struct {
	id          uint64
	fingerprint string
	start       time.Time
}

// cut is a connection cut that is not confirmed as a loss yet.
type cut struct {
	at      time.Time
	bootID  string
	suspect *Suspect
}

type suspicion struct {
	score    int
	lastLoss time.Time
	// countedLosses holds the upstream and boot ids of the losses already counted, so that each loss counts once.
	countedLosses map[string]bool
}

// New returns an empty guard.
func New() *Guard {
	return &Guard{upstreams: make(map[string]*upstream), suspicions: make(map[string]*suspicion)}
}

// SetBlocked replaces the fingerprints blocked by the view. The values are the ends of the blocks in ms since the Unix
// epoch.
func (g *Guard) SetBlocked(blocked map[string]int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = blocked
}

// Blocked reports whether requests with the fingerprint are refused at the given time.
func (g *Guard) Blocked(fingerprint string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until, ok := g.blocked[fingerprint]; ok && now.UnixMilli() < until {
		return true
	}
	s := g.suspicions[fingerprint]
	return s != nil && s.score >= BlockScore && now.Sub(s.lastLoss) < SuspicionTTL
}

// Start records that a request was sent to an upstream. It returns the id of the request for End or ConnectionCut.
func (g *Guard) Start(upstreamID, bootID, fingerprint string, now time.Time) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstream(upstreamID)
	if u.bootID == "" {
		u.bootID = bootID
	}
	g.lastID++
	u.running = append(u.running, runningRequest{id: g.lastID, fingerprint: fingerprint, start: now})
	return g.lastID
}

// End records that a request ended without a connection cut.
func (g *Guard) End(upstreamID string, id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.upstreams[upstreamID]; u != nil {
		u.remove(id)
	}
}

// ConnectionCut records that the connection of a request was reset or closed without a response. It returns a suspect
// if this confirms a loss.
func (g *Guard) ConnectionCut(upstreamID string, id uint64, now time.Time) *Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstream(upstreamID)
	if u.cut == nil || now.Sub(u.cut.at) > ConfirmWindow {
		u.cut = &cut{at: now, bootID: u.bootID, suspect: u.suspect(upstreamID, now)}
	}
	u.remove(id)
	if !u.refusedAt.IsZero() && now.Sub(u.refusedAt) <= maxRefusalLead {
		return g.confirm(u, now)
	}
	return nil
}

// ConnectionRefused records that an upstream refused a connection. It returns a suspect if this confirms a loss.
func (g *Guard) ConnectionRefused(upstreamID string, now time.Time) *Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstream(upstreamID)
	u.refusedAt = now
	return g.confirm(u, now)
}

// ObserveBootID records the boot id that an upstream reported. It returns a suspect if a new boot id confirms a loss.
func (g *Guard) ObserveBootID(upstreamID, bootID string, now time.Time) *Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	if bootID == "" {
		return nil
	}
	u := g.upstream(upstreamID)
	if u.bootID == bootID || u.previousBootID == bootID {
		return nil
	}
	hadBootID := u.bootID != ""
	u.previousBootID, u.bootID = u.bootID, bootID
	u.refusedAt = time.Time{}
	if !hadBootID || (u.cut != nil && u.cut.bootID == bootID) {
		return nil
	}
	return g.confirm(u, now)
}

// Remove drops the state of an upstream that is gone, unless it still has requests in flight.
func (g *Guard) Remove(upstreamID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.upstreams[upstreamID]; u != nil && len(u.running) == 0 {
		delete(g.upstreams, upstreamID)
	}
}

func (g *Guard) upstream(id string) *upstream {
	u := g.upstreams[id]
	if u == nil {
		u = &upstream{}
		g.upstreams[id] = u
	}
	return u
}

func (u *upstream) remove(id uint64) {
	for i := range u.running {
		if u.running[i].id == id {
			u.running = append(u.running[:i], u.running[i+1:]...)
			return
		}
	}
}

// suspect returns the suspect among the running requests, which are in order of their start, or nil if there is none.
func (u *upstream) suspect(upstreamID string, now time.Time) *Suspect {
	n := len(u.running)
	if n == 0 {
		return nil
	}
	last := u.running[n-1]
	if n > 1 && now.Sub(last.start) > RecentStartWindow {
		return nil
	}
	return &Suspect{Fingerprint: last.fingerprint, UpstreamID: upstreamID, BootID: u.bootID, Sole: n == 1}
}
