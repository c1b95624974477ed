package controlplane

import (
	"sync"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/controlproto"
)

// confirmation is what a gateway said in its last renewal.
type confirmation struct {
	at            time.Time
	configVersion uint64
	busy          []controlproto.BusyUpstream
}

// endedSession is a session whose lease ran out under this leader.
type endedSession struct {
	gateway string
	at      time.Time
}

// confirmations remembers, for one term, what each session confirmed and which sessions ended. A new leader starts with
// none, so it claims nothing that it did not hear itself.
type confirmations struct {
	mu        sync.Mutex
	term      uint64
	startedAt time.Time
	sessions  map[uint64]confirmation
	ended     map[uint64]endedSession
}

func newConfirmations() *confirmations {
	c := &confirmations{}
	c.reset(0, time.Time{})
	return c
}

// reset starts a term.
func (c *confirmations) reset(term uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = term
	c.startedAt = now
	c.sessions = make(map[uint64]confirmation)
	c.ended = make(map[uint64]endedSession)
}

func (c *confirmations) record(term uint64, renew *controlproto.Renew, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term == c.term {
		c.sessions[renew.SessionID] = confirmation{at: now, configVersion: renew.ConfigVersion, busy: renew.Busy}
	}
}

// markEnded notes a session whose lease ran out: its requests may run at upstreams until their deadlines.
func (c *confirmations) markEnded(sessionID uint64, gateway string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[sessionID] = endedSession{gateway: gateway, at: now}
	delete(c.sessions, sessionID)
}

// forgetEndedBefore drops ended sessions that cannot have requests in flight any more.
func (c *confirmations) forgetEndedBefore(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, e := range c.ended {
		if e.at.Before(t) {
			delete(c.ended, id)
		}
	}
}

func (c *confirmations) session(id uint64) (confirmation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conf, ok := c.sessions[id]
	return conf, ok
}

// inForce returns the lowest configuration version that all live sessions confirmed, or 0 if one has confirmed none.
func (c *confirmations) inForce(live []controlstate.SessionInfo, current uint64) uint64 {
	lowest := current
	for _, s := range live {
		conf, ok := c.session(s.SessionID)
		if !ok {
			return 0
		}
		lowest = min(lowest, conf.configVersion)
	}
	return lowest
}

// endedSince returns the gateways whose sessions ended after t, and whether this term is too young to know them all.
func (c *confirmations) endedSince(t time.Time) (gateways []string, incomplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.ended {
		if e.at.After(t) {
			gateways = append(gateways, e.gateway)
		}
	}
	return gateways, c.startedAt.After(t)
}
