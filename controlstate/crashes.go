package controlstate

import (
	"cmp"
	"slices"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

type crashKey struct {
	Service     string `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
}

func (k crashKey) compare(other crashKey) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Fingerprint, other.Fingerprint))
}

// upstreamLoss is one process of an upstream that was lost.
type upstreamLoss struct {
	UpstreamID string `cbor:"1,keyasint"`
	BootID     string `cbor:"2,keyasint"`
}

// crashRecord holds the losses of one fingerprint.
type crashRecord struct {
	Key                   crashKey       `cbor:"1,keyasint"`
	Losses                []upstreamLoss `cbor:"2,keyasint"` // The newest, in the order of their reports.
	LastUnixMilli         int64          `cbor:"3,keyasint"`
	BlockedUntilUnixMilli int64          `cbor:"4,keyasint,omitempty"` // Unix ms; 0 while not blocked.
}

func (r *crashRecord) expires() int64 {
	return max(r.LastUnixMilli+lossRetentionMillis, r.BlockedUntilUnixMilli)
}

type crashTable struct {
	byKey map[crashKey]*crashRecord
	// nextPrune is the earliest time at which prune has work to do, or 0 for none.
	nextPrune int64
}

func newCrashTable() crashTable {
	return crashTable{byKey: make(map[crashKey]*crashRecord)}
}

// prune ends blocks and forgets old losses. It tells whether a block ended.
func (t *crashTable) prune(now int64) (blockEnded bool) {
	if t.nextPrune == 0 || now < t.nextPrune {
		return false
	}
	for key, r := range t.byKey {
		if r.BlockedUntilUnixMilli != 0 && r.BlockedUntilUnixMilli <= now {
			r.BlockedUntilUnixMilli = 0
			blockEnded = true
		}
		if r.expires() <= now {
			delete(t.byKey, key)
		}
	}
	t.scheduleNextPrune()
	return blockEnded
}

func (t *crashTable) scheduleNextPrune() {
	t.nextPrune = 0
	for _, r := range t.byKey {
		at := r.expires()
		if r.BlockedUntilUnixMilli != 0 {
			at = min(at, r.BlockedUntilUnixMilli)
		}
		if t.nextPrune == 0 || at < t.nextPrune {
			t.nextPrune = at
		}
	}
}

// findOrAdd returns the findOrAdd of a key. If the table is full, the findOrAdd that is not blocked and has the oldest last loss
// makes room, or, if all are blocked, the one whose block ends first.
func (t *crashTable) findOrAdd(key crashKey) *crashRecord {
	if r := t.byKey[key]; r != nil {
		return r
	}
	if len(t.byKey) >= maxFingerprints {
		var victim *crashRecord
		for _, r := range t.byKey {
			if victim == nil || r.evictBefore(victim) {
				victim = r
			}
		}
		delete(t.byKey, victim.Key)
	}
	r := &crashRecord{Key: key}
	t.byKey[key] = r
	return r
}

func (r *crashRecord) evictBefore(other *crashRecord) bool {
	return cmp.Or(
		cmp.Compare(r.BlockedUntilUnixMilli, other.BlockedUntilUnixMilli),
		cmp.Compare(r.LastUnixMilli, other.LastUnixMilli),
		r.Key.compare(other.Key),
	) < 0
}

func (m *Machine) reportCrash(c *ReportCrash) Result {
	s := &m.state
	if !lengthWithin(c.Fingerprint, 1, maxIDBytes) || !lengthWithin(c.UpstreamID, 1, dynconfig.MaxNameBytes) || !lengthWithin(c.BootID, 1, maxIDBytes) {
		return failure(resultcode.MalformedCommand, "a field of the crash report is empty or too long")
	}
	if s.services[c.Service] == nil {
		return failure(resultcode.UnknownService, "the configuration has no service %+q", c.Service)
	}
	r := s.crashes.findOrAdd(crashKey{c.Service, c.Fingerprint})
	lost := upstreamLoss{c.UpstreamID, c.BootID}
	if slices.Contains(r.Losses, lost) {
		return Result{}
	}
	r.Losses = append(r.Losses, lost)
	if len(r.Losses) > maxRetainedLosses {
		r.Losses = slices.Delete(r.Losses, 0, 1)
	}
	r.LastUnixMilli = s.now
	if len(r.Losses) >= lossesToBlock {
		r.BlockedUntilUnixMilli = s.now + blockMillis
		m.invalidateView()
	}
	s.crashes.scheduleNextPrune()
	return Result{}
}
