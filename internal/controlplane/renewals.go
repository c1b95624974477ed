package controlplane

import (
	"sync"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/controlproto"
)

// renewalRecord holds the contents of a session's last granted renewal, and since when its gateway has reported that it holds
// no lease.
type renewalRecord struct {
	receivedAt    time.Time // zero if no renewal was granted in this term
	gateway       string
	configVersion uint64
	busy          []controlproto.BusyUpstream
	noLeaseSince  time.Time // arrival of the first of an unbroken series of renewals with NoLease; zero if the last had a lease
}

// renewalTracker holds the renewal records of one term by session. A new leader starts without records, so it reports only
// versions that gateways confirmed to it.
type renewalTracker struct {
	mu       sync.Mutex
	term     uint64
	sessions map[uint64]renewalRecord
}

func newRenewalTracker() *renewalTracker {
	t := &renewalTracker{}
	t.reset(0)
	return t
}

// reset removes all records and starts a term.
func (t *renewalTracker) reset(term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.term = term
	t.sessions = make(map[uint64]renewalRecord)
}

// isForTerm reports whether the records are those of the given term. Between its election and startTerm, a leader still has
// the records of an earlier term that it led.
func (t *renewalTracker) isForTerm(term uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return term == t.term
}

// trackNoLease records whether the gateway held a lease when it sent a renewal. It returns the time since which the gateway
// has reported none, or zero if it held one.
func (t *renewalTracker) trackNoLease(renew *controlproto.RenewRequest, receivedAt time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.sessions[renew.SessionID]
	switch {
	case !renew.NoLease:
		record.noLeaseSince = time.Time{}
	case record.noLeaseSince.IsZero():
		record.noLeaseSince = receivedAt
	}
	t.sessions[renew.SessionID] = record
	return record.noLeaseSince
}

// record stores a granted renewal. A renewal with an older configuration version than the last was delayed or duplicated,
// and is ignored.
func (t *renewalTracker) record(term uint64, gateway string, renew *controlproto.RenewRequest, receivedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.sessions[renew.SessionID]
	if term != t.term || renew.ConfigVersion < last.configVersion {
		return
	}
	if receivedAt.Before(last.receivedAt) {
		receivedAt = last.receivedAt
	}
	t.sessions[renew.SessionID] = renewalRecord{
		receivedAt: receivedAt, gateway: gateway, configVersion: renew.ConfigVersion, busy: renew.Busy, noLeaseSince: last.noLeaseSince,
	}
}

// removeEnded removes the records of sessions that have ended. The replicated state records where their requests may still
// run. A session's id is the log index at which it was opened, so a session with an id above view.Index is missing only
// because the view is older.
func (t *renewalTracker) removeEnded(view *controlstate.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.sessions {
		if id <= view.Index && view.Session(id) == nil {
			delete(t.sessions, id)
		}
	}
}

// lookup returns the record of a session, and false if no renewal of it was granted in this term.
func (t *renewalTracker) lookup(id uint64) (renewalRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.sessions[id]
	return record, !record.receivedAt.IsZero()
}

// versionInForce returns the lowest configuration version that the live sessions confirmed, at most current, or 0 if one of
// them has confirmed none.
func (t *renewalTracker) versionInForce(live []controlstate.SessionInfo, current uint64) uint64 {
	version := current
	for _, s := range live {
		record, ok := t.lookup(s.SessionID)
		if !ok {
			return 0
		}
		version = min(version, record.configVersion)
	}
	return version
}
