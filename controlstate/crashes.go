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

// loss is one process of an upstream that was lost.
type loss struct {
	UpstreamID string `cbor:"1,keyasint"`
	BootID     string `cbor:"2,keyasint"`
}

// crashRecord holds the losses of one fingerprint.
type crashRecord struct {
	Key             crashKey `cbor:"1,keyasint"`
	Losses          []loss   `cbor:"2,keyasint"` // The newest, in the order of their reports.
	LastUnixMilli   int64    `cbor:"3,keyasint"`
	BlockedToMillis int64    `cbor:"4,keyasint,omitempty"` // Unix ms; 0 while not blocked.
}

func (r *crashRecord) expires() int64 {
	return max(r.LastUnixMilli+lossKeepMillis, r.BlockedToMillis)
}

type crashTable struct {
	byKey map[crashKey]*crashRecord
	// next is the earliest time at which prune has work to do, or 0 for none.
	next int64
}

func newCrashTable() crashTable {
	return crashTable{byKey: make(map[crashKey]*crashRecord)}
}

// prune ends blocks and forgets old losses. It tells whether a block ended.
func (t *crashTable) prune(now int64) (blockEnded bool) {
	if t.next == 0 || now < t.next {
		return false
	}
	for key, r := range t.byKey {
		if r.BlockedToMillis != 0 && r.BlockedToMillis <= now {
			r.BlockedToMillis = 0
			blockEnded = true
		}
		if r.expires() <= now {
			delete(t.byKey, key)
		}
	}
	t.schedule()
	return blockEnded
}

func (t *crashTable) schedule() {
	t.next = 0
	for _, r := range t.byKey {
		at := r.expires()
		if r.BlockedToMillis != 0 {
			at = min(at, r.BlockedToMillis)
		}
		if t.next == 0 || at < t.next {
			t.next = at
		}
	}
}

// record returns the record of a key. If the table is full, the record that is not blocked and has the oldest last loss
// makes room, or, if all are blocked, the one whose block ends first.
func (t *crashTable) record(key crashKey) *crashRecord {
	if r := t.byKey[key]; r != nil {
		return r
	}
	if len(t.byKey) >= maxFingerprints {
		var victim *crashRecord
		for _, r := range t.byKey {
			if victim == nil || r.before(victim) {
				victim = r
			}
		}
		delete(t.byKey, victim.Key)
	}
	r := &crashRecord{Key: key}
	t.byKey[key] = r
	return r
}

func (r *crashRecord) before(other *crashRecord) bool {
	return cmp.Or(
		cmp.Compare(r.BlockedToMillis, other.BlockedToMillis),
		cmp.Compare(r.LastUnixMilli, other.LastUnixMilli),
		r.Key.compare(other.Key),
	) < 0
}

func (m *Machine) reportCrash(c *ReportCrash) Result {
	s := &m.state
	if !within(c.Fingerprint, 1, maxIDBytes) || !within(c.UpstreamID, 1, dynconfig.MaxNameBytes) || !within(c.BootID, 1, maxIDBytes) {
		return failed(resultcode.MalformedCommand, "a field of the crash report is empty or too long")
	}
	if s.services[c.Service] == nil {
		return failed(resultcode.UnknownService, "the configuration has no service %+q", c.Service)
	}
	r := s.crashes.record(crashKey{c.Service, c.Fingerprint})
	lost := loss{c.UpstreamID, c.BootID}
	if slices.Contains(r.Losses, lost) {
		return Result{}
	}
	r.Losses = append(r.Losses, lost)
	if len(r.Losses) > maxLossesKept {
		r.Losses = slices.Delete(r.Losses, 0, 1)
	}
	r.LastUnixMilli = s.now
	if len(r.Losses) >= lossesToBlock {
		r.BlockedToMillis = s.now + blockMillis
		m.changed()
	}
	s.crashes.schedule()
	return Result{}
}
