package routingstate

import (
	"crypto/sha256"
	"maps"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/resultcode"
	"github.com/bramleypick/bramleypick/routing"
)

// maxAcceptedChanges limits the accepted changes that are kept to recognise retries. There are a few hundred changes per day.
const maxAcceptedChanges = 4096

// Machine implements controlnode.StateMachine. View is safe for concurrent use.
type Machine struct {
	view     atomic.Pointer[View]
	accepted []acceptedChange // oldest first
}

// acceptedChange identifies a configuration change that was accepted.
type acceptedChange struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  []byte `cbor:"2,keyasint"`
}

type snapshot struct {
	View     *View            `cbor:"1,keyasint"`
	Accepted []acceptedChange `cbor:"2,keyasint"`
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.view.Store(&View{})
	return m
}

// NewFromView returns a machine with the state of a view. It does not recognise retries of changes accepted before.
func NewFromView(v *View) *Machine {
	m := &Machine{}
	m.view.Store(v)
	return m
}

// View returns the state after the last applied command.
func (m *Machine) View() *View { return m.view.Load() }

// Apply applies a committed command and returns an encoded Result.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	result := m.apply(index, data)
	encoded, err := cbor.Marshal(result)
	if err != nil {
		panic(err) // a Result has only types that always encode
	}
	return encoded
}

func (m *Machine) apply(index uint64, data []byte) Result {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Result{Code: resultcode.MalformedCommand, Message: err.Error()}
	}
	switch {
	case c.Put != nil:
		return m.applyConfig(index, c.Put, digest(data))
	case c.Patch != nil:
		return m.applyPatch(index, c.Patch, digest(data))
	case c.Evacuate != nil:
		return m.applyEvacuation(index, *c.Evacuate)
	case c.Version != nil:
		return m.applyVersion(index, *c.Version)
	case c.StartRollout != nil:
		return m.applyRolloutOrder(index, *c.StartRollout)
	case c.DecideRollout != nil:
		return m.applyRolloutDecision(index, *c.DecideRollout)
	}
	return Result{Code: resultcode.MalformedCommand, Message: "the command is empty"}
}

func digest(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}

func (m *Machine) applyPatch(index uint64, p *routing.Patch, digest []byte) Result {
	current := m.View().Config
	if current == nil {
		current = &routing.Config{}
	}
	if current.Version != p.BaseVersion {
		// A patch is only meaningful on top of its base version, so anything but a retry is a conflict.
		return m.conflictUnlessRetry(p.Version, digest)
	}
	return m.applyConfig(index, p.Apply(current), digest)
}

func (m *Machine) applyConfig(index uint64, c *routing.Config, digest []byte) Result {
	view := m.View()
	var current uint64
	if view.Config != nil {
		current = view.Config.Version
	}
	if m.isRetry(c.Version, digest) {
		return Result{Code: resultcode.OK, Index: view.Index}
	}
	if err := c.Validate(); err != nil {
		return Result{Code: resultcode.InvalidConfiguration, Message: err.Error()}
	}
	if c.BaseVersion != current {
		return m.conflictUnlessRetry(c.Version, digest)
	}
	if c.Version <= current {
		return Result{Code: resultcode.InvalidConfiguration, Message: "version: must be above the current version"}
	}
	next := view.next(index)
	next.Config = c
	m.view.Store(next)
	m.accepted = append(m.accepted, acceptedChange{Version: c.Version, Digest: digest})
	if len(m.accepted) > maxAcceptedChanges {
		m.accepted = m.accepted[1:]
	}
	return Result{Code: resultcode.OK, Index: index}
}

func (m *Machine) conflictUnlessRetry(version uint64, digest []byte) Result {
	if m.isRetry(version, digest) {
		return Result{Code: resultcode.OK, Index: m.View().Index}
	}
	return Result{Code: resultcode.VersionConflict, Message: "another version is current"}
}

func (m *Machine) isRetry(version uint64, digest []byte) bool {
	for _, a := range m.accepted {
		if a.Version == version && string(a.Digest) == string(digest) {
			return true
		}
	}
	return false
}

// applyEvacuation accepts an order also if the zone is in that state already: it must still invalidate the copies of earlier
// orders.
func (m *Machine) applyEvacuation(index uint64, e Evacuation) Result {
	view := m.View()
	last, recorded := view.LastOrders[e.Zone]
	if e.After != nil && recorded && *e.After != last {
		return Result{Code: resultcode.VersionConflict, Message: "another order about the zone was accepted", LastOrder: last}
	}
	next := view.next(index)
	changesZone := view.Evacuated[e.Zone] == e.End
	if changesZone {
		next.Evacuated = cloneMap(view.Evacuated)
		if e.End {
			delete(next.Evacuated, e.Zone)
		} else {
			next.Evacuated[e.Zone] = true
		}
	}
	if e.After != nil {
		next.LastOrders = cloneMap(view.LastOrders)
		next.LastOrders[e.Zone] = index
	}
	if !changesZone && e.After == nil {
		return Result{Code: resultcode.OK, Index: view.Index}
	}
	m.view.Store(next)
	return Result{Code: resultcode.OK, Index: index}
}

// cloneMap returns a copy of m that is not nil.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(snapshot{View: m.View(), Accepted: m.accepted})
	return data, errors.Wrap(err, "encode snapshot")
}

// Restore replaces the state by that of a snapshot. On error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.accepted = s.Accepted
	m.view.Store(s.View)
	return nil
}
