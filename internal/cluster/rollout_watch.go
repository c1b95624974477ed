package cluster

import (
	"time"

	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/rollout"
	"github.com/bramleypick/bramleypick/roster"
	"github.com/bramleypick/bramleypick/routingstate"
)

// rolloutWatch is what the leader knows of one running rollout. A new leader begins with an empty one: the gateways' reports
// contain everything since the order.
type rolloutWatch struct {
	evidence *rollout.Evidence
	order    uint64
	since    time.Time
	step     uint64    // index of the current step
	stepAt   time.Time // when it was first seen
	contacts map[string]time.Time
}

func newRolloutWatch(r routingstate.Rollout, now time.Time) *rolloutWatch {
	return &rolloutWatch{
		evidence: rollout.NewEvidence(r.Order), order: r.Order, since: now, contacts: make(map[string]time.Time),
	}
}

// state returns the state of the rollout at a moment.
func (w *rolloutWatch) state(
	service string, r routingstate.Rollout, view *routingstate.View, nodes []roster.Node, upstreams []registry.Entry, now time.Time,
) rollout.State {
	if r.Step != w.step {
		w.step, w.stepAt = r.Step, now
	}
	contacts := w.updateContacts(nodes, now)
	s := rollout.State{
		// The clocks of the VMs may differ; the rollout is at least as old as this process knows it.
		Elapsed: max(now.Sub(time.UnixMilli(r.StartedUnixMilli)), now.Sub(w.since)), Duration: r.Duration(),
		Stage: rollout.Stage(r.Stage), Share: r.Share, RouteShares: r.RouteShares,
		SinceStep: now.Sub(w.stepAt), Watched: now.Sub(w.since),
		Gateways: len(contacts), Heard: w.evidence.Heard(contacts), Confirmation: w.evidence.Confirmed(r.Step, contacts, now),
	}
	for i := range upstreams {
		e := &upstreams[i]
		if e.Service != service || e.State != registry.Ready || view.Evacuated[e.Zone] {
			continue
		}
		switch e.Version {
		case r.Target:
			s.NewUpstreams++
		case r.From:
			s.OldUpstreams++
		}
	}
	return s
}

// updateContacts returns the live gateways and since when each has been known.
func (w *rolloutWatch) updateContacts(nodes []roster.Node, now time.Time) []rollout.Contact {
	known := make(map[string]time.Time, len(nodes))
	contacts := make([]rollout.Contact, 0, len(nodes))
	for _, n := range nodes {
		since, ok := w.contacts[n.IP]
		if !ok {
			since = now
		}
		known[n.IP] = since
		contacts = append(contacts, rollout.Contact{Gateway: n.IP, Since: since})
	}
	w.contacts = known
	return contacts
}
