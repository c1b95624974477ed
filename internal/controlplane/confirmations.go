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

// confirmations remembers, for one term, what each session confirmed. A new leader starts with none, so it claims nothing
// that it did not hear itself.
type confirmations struct {
	mu       sync.Mutex
	term     uint64
	sessions map[uint64]confirmation
}

func newConfirmations() *confirmations {
	c := &confirmations{}
	c.reset(0)
	return c
}

// reset starts a term.
func (c *confirmations) reset(term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = term
	c.sessions = make(map[uint64]confirmation)
}

// isOf tells whether the confirmations are those of the given term. Between its election and the start of its duties, a
// leader still has those of an earlier term of its own.
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
	c.sessions[renew.SessionID] = conf
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
	if receivedAt.Before(last.at) {
		receivedAt = last.at
	}
	c.sessions[renew.SessionID] = confirmation{
		at: receivedAt, gateway: gateway, configVersion: renew.ConfigVersion, busy: renew.Busy, lapsedSince: last.lapsedSince,
	}
}

// keep drops the confirmations of sessions that have ended. The replicated state remembers where their requests may run.
func (c *confirmations) keep(view *controlstate.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.sessions {
		if id <= view.Index && view.Session(id) == nil {
			delete(c.sessions, id)
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
