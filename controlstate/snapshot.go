package controlstate

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// snapshotFormat must be incremented when the encoding of snapshots changes.
const snapshotFormat = 1

// snapshot is the encoded form of state. Its lists have a defined order, so that equal states encode to equal bytes.
type snapshot struct {
	Format        int              `cbor:"1,keyasint"`
	Index         uint64           `cbor:"2,keyasint"`
	NowUnixMilli  int64            `cbor:"3,keyasint"`
	ViewIndex     uint64           `cbor:"4,keyasint"`
	ConfigVersion uint64           `cbor:"5,keyasint"`
	ConfigJSON    []byte           `cbor:"6,keyasint,omitempty"`
	Changes       []*changeRecord  `cbor:"7,keyasint,omitempty"`  // In the order applied.
	Sessions      []SessionInfo    `cbor:"8,keyasint,omitempty"`  // By id.
	Opens         []*openRecord    `cbor:"9,keyasint,omitempty"`  // Of sessions that have not expired, by open id.
	Expired       []*openRecord    `cbor:"10,keyasint,omitempty"` // In the order of expiry.
	Upstreams     []UpstreamInfo   `cbor:"11,keyasint,omitempty"` // By id.
	Claims        []claimRecord    `cbor:"12,keyasint,omitempty"` // By claim id.
	Crashes       []*crashRecord   `cbor:"13,keyasint,omitempty"` // By key.
	Horizons      []*horizonChange `cbor:"14,keyasint,omitempty"` // By service.
}

// claimRecord is the encoded form of a claim.
type claimRecord struct {
	Key              ClaimKey        `cbor:"1,keyasint"`
	ID               uint64          `cbor:"2,keyasint"`
	Session          uint64          `cbor:"3,keyasint"`
	AttemptID        string          `cbor:"4,keyasint"`
	Digest           cbor.ByteString `cbor:"5,keyasint"`
	CreatedUnixMilli int64           `cbor:"6,keyasint"`
	HorizonMillis    int64           `cbor:"7,keyasint"`
	State            claimState      `cbor:"8,keyasint"`
	Response         []byte          `cbor:"9,keyasint,omitempty"`
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	return m.PrepareSnapshot()()
}

// PrepareSnapshot copies the state and returns a function that encodes the copy. The function may run on another goroutine
// while further commands are applied, because encoding takes about seven times as long as copying when there are many claims.
func (m *Machine) PrepareSnapshot() (encode func() ([]byte, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	snap := m.state.copySnapshot()
	return func() ([]byte, error) {
		slices.SortFunc(snap.Claims, func(a, b claimRecord) int { return cmp.Compare(a.ID, b.ID) })
		data, err := encMode.Marshal(snap)
		return data, errors.Wrap(err, "encode snapshot")
	}
}

// copySnapshot returns a copy that shares with the state only data that later commands do not modify.
func (s *state) copySnapshot() snapshot {
	v := s.buildView()
	snap := snapshot{
		Format: snapshotFormat, Index: s.index, NowUnixMilli: s.now, ViewIndex: s.viewIndex,
		ConfigVersion: s.configVersion, ConfigJSON: s.configJSON,
		Changes: slices.Clone(s.changes.order), Sessions: v.Sessions, Opens: s.sessions.liveOpens(),
		Expired: slices.Clone(s.sessions.expired), Upstreams: v.Upstreams, Claims: s.claims.records(),
	}
	for _, r := range s.crashes.sorted() {
		record := *r
		record.Losses = slices.Clone(r.Losses)
		snap.Crashes = append(snap.Crashes, &record)
	}
	for _, h := range s.sortedHorizons() {
		change := *h
		snap.Horizons = append(snap.Horizons, &change)
	}
	return snap
}

// liveOpens returns copies of the records of sessions that have not expired, because expiry modifies the original records.
func (t *sessionTable) liveOpens() []*openRecord {
	var opens []*openRecord
	for _, r := range t.opens {
		if t.exists(r.Session.SessionID) {
			record := *r
			opens = append(opens, &record)
		}
	}
	slices.SortFunc(opens, func(a, b *openRecord) int { return cmp.Compare(a.OpenID, b.OpenID) })
	return opens
}

// records returns the claims in unspecified order.
func (t *claimTable) records() []claimRecord {
	records := make([]claimRecord, 0, len(t.byKey))
	for _, c := range t.byKey {
		records = append(records, claimRecord{
			Key: c.key, ID: c.id, Session: c.session, AttemptID: c.attemptID, Digest: cbor.ByteString(c.digest),
			CreatedUnixMilli: c.createdUnixMilli, HorizonMillis: c.horizonMillis, State: c.state, Response: c.response,
		})
	}
	return records
}
