package controlstate

import "github.com/bramleypick/bramleypick/resultcode"

// changeRecord is the first result of a configuration change.
type changeRecord struct {
	ID          string          `cbor:"1,keyasint"`
	AtUnixMilli int64           `cbor:"2,keyasint"`
	BaseVersion uint64          `cbor:"3,keyasint"`
	Digest      string          `cbor:"4,keyasint"` // Of the configuration it proposed.
	Code        resultcode.Code `cbor:"5,keyasint"`
	Message     string          `cbor:"6,keyasint,omitempty"`
	// Version and CurrentDigest are those that the first result carried.
	Version       uint64 `cbor:"7,keyasint"`
	CurrentDigest string `cbor:"8,keyasint"`
}

func (r *changeRecord) result() Result {
	return Result{Code: r.Code, Message: r.Message, ConfigVersion: r.Version, ConfigDigest: r.CurrentDigest}
}

// changeTable keeps results of changes, in the order in which they were applied.
type changeTable struct {
	byID  map[string]*changeRecord
	order []*changeRecord
}

func newChangeTable() changeTable {
	return changeTable{byID: make(map[string]*changeRecord)}
}

func (t *changeTable) add(r *changeRecord) {
	t.byID[r.ID] = r
	t.order = append(t.order, r)
}

// prune drops results that are older than the time kept and not among the newest.
func (t *changeTable) prune(now int64) {
	for len(t.order) > minRetainedChanges && t.order[0].AtUnixMilli+changeRetentionMillis < now {
		delete(t.byID, t.order[0].ID)
		t.order[0] = nil
		t.order = t.order[1:]
	}
}
