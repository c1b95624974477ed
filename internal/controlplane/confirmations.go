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

func (c *confirmations) record(term uint64, renew *controlproto.Renew, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term == c.term {
		c.sessions[renew.SessionID] = confirmation{at: now, configVersion: renew.ConfigVersion, busy: renew.Busy}
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
