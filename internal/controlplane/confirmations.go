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
	gateway       string
	configVersion uint64
	busy          []controlproto.BusyUpstream
	lapsedSince   time.Time // since when each renewal said that no lease was held; zero if the last one did not
}

// endedSession is a session that ended under this leader and may have left requests at upstreams.
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

// isOf tells whether the confirmations are those of the given term. Between its election and the start of its duties, a
// leader still has those of an earlier term of its own, which lack the sessions that ended in between.
func (c *confirmations) isOf(term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return term == c.term
}

// noteLapse notes whether the gateway held a lease when it sent a renewal, and returns since when it has held none, or zero.
func (c *confirmations) noteLapse(renew *controlproto.Renew, receivedAt time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	conf := c.sessions[renew.SessionID]
	switch {
	case !renew.Lapsed:
		conf.lapsedSince = time.Time{}
	case conf.lapsedSince.IsZero():
		conf.lapsedSince = receivedAt
	}
	if _, ended := c.ended[renew.SessionID]; !ended {
		c.sessions[renew.SessionID] = conf
	}
	return conf.lapsedSince
}

// record notes a renewal that is granted. A renewal with an older version than the last is a delayed or duplicated one and is ignored.
func (c *confirmations) record(term uint64, gateway string, renew *controlproto.Renew, receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.sessions[renew.SessionID]
	if term != c.term || renew.ConfigVersion < last.configVersion {
		return
	}
	if _, ended := c.ended[renew.SessionID]; ended {
		return
	}
	if receivedAt.Before(last.at) {
		receivedAt = last.at
	}
	c.sessions[renew.SessionID] = confirmation{
		at: receivedAt, gateway: gateway, configVersion: renew.ConfigVersion, busy: renew.Busy, lapsedSince: last.lapsedSince,
	}
}

// keep drops the confirmations of sessions that their gateways ended. A gateway whose graceful stop timed out ends its session
// with requests in flight; they may run at upstreams until their deadlines. So may those of a gateway that did not confirm
// the current configuration with nothing in flight.
func (c *confirmations) keep(view *controlstate.View, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, conf := range c.sessions {
		if id > view.Index || view.Session(id) != nil {
			continue
		}
		if !conf.at.IsZero() && (len(conf.busy) > 0 || conf.configVersion < view.ConfigVersion) {
			c.ended[id] = endedSession{gateway: conf.gateway, at: now}
		}
		delete(c.sessions, id)
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

// session returns what a session confirmed, and false if it was granted nothing in this term.
func (c *confirmations) session(id uint64) (confirmation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conf := c.sessions[id]
	return conf, !conf.at.IsZero()
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
