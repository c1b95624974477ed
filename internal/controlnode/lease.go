package controlnode

import (
	"sync/atomic"
	"time"

	"github.com/bramleypick/bramleypick/replog"
)

// maxUnconfirmedRounds bounds the heartbeat rounds whose sending times are kept. A leader without acknowledgements steps down after
// 3 rounds; reads start further ones.
const maxUnconfirmedRounds = 256

// lease determines how long this replica is certainly the only leader: a quorum grants no vote to another replica within the
// shortest election timeout after a heartbeat that it acknowledged was sent.
type lease struct {
	term     uint64
	recorded uint64      // the latest round in sent, also after its confirmation
	sent     []sentRound // not yet confirmed, in increasing order
	valid    atomic.Pointer[leaseTerm]
}

type sentRound struct {
	round uint64
	at    time.Duration
}

// leaseTerm says that a quorum confirmed the leadership of the term at a time of the replica's clock.
type leaseTerm struct {
	term uint64
	at   time.Duration
}

// record updates the lease after an iteration of the loop, which began at the given time.
func (l *lease) record(s *replog.Status, at time.Duration) {
	if s.Role != replog.RoleLeader || s.Term != l.term {
		l.term, l.recorded, l.sent = s.Term, 0, nil
		l.valid.Store(nil)
	}
	if s.Role != replog.RoleLeader {
		return
	}
	if s.HeartbeatRound > l.recorded && len(l.sent) < maxUnconfirmedRounds {
		l.recorded = s.HeartbeatRound
		l.sent = append(l.sent, sentRound{s.HeartbeatRound, at})
	}
	confirmed := -1
	for i, r := range l.sent {
		if r.round <= s.ConfirmedRound {
			confirmed = i
		}
	}
	if confirmed >= 0 {
		at := l.sent[confirmed].at
		l.sent = l.sent[confirmed+1:]
		if s.TermCommitted && s.Transferee == 0 {
			l.valid.Store(&leaseTerm{s.Term, at})
		}
	}
	if s.Transferee != 0 {
		l.valid.Store(nil) // the target of a transfer gets votes at any time
	}
}

// LeaderTerm returns the term of which this replica is certainly the only leader at the time now of Config.Clock. It returns false
// on any other replica, and on a leader that no majority has confirmed within the shortest election timeout, less one tick.
func (n *Node) LeaderTerm(now time.Duration) (term uint64, ok bool) {
	valid := n.lease.valid.Load()
	if valid == nil || now-valid.at >= time.Duration(n.cfg.ElectionTicks-1)*n.cfg.TickInterval {
		return 0, false
	}
	return valid.term, true
}
