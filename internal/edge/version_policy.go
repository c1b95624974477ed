package edge

import (
	"cmp"
	"slices"

	"github.com/bramleypick/bramleypick/placement"
	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/rollout"
	"github.com/bramleypick/bramleypick/routingstate"
)

// versionPolicy says which upstreams may get requests because of their version. The zero value treats all versions alike.
type versionPolicy struct {
	view *routingstate.View
	// first holds the most frequent version of the services whose version is not recorded yet.
	first map[string]string
	// selected holds the upstreams of the new version that get requests in a running rollout, by id.
	selected map[string]bool
}

// versionUse is what the version of an upstream means for its requests.
type versionUse struct {
	omit     bool // it gets nothing
	withheld bool // it gets nothing new
	version  rollout.Version
}

func newVersionPolicy(state ClusterState) versionPolicy {
	p := versionPolicy{view: state.View, first: registry.FirstVersions(state.Upstreams, state.View.Versions), selected: make(map[string]bool)}
	for service, r := range state.View.Rollouts {
		if r.State == routingstate.RolloutRunning {
			p.selectNew(service, r, state)
		}
	}
	return p
}

// selectNew selects the upstreams of the new version that get requests. All gateways select the same ones. They are spread evenly
// over the availability zones: the loss of a zone must not hit the new version more than the old one.
func (p *versionPolicy) selectNew(service string, r routingstate.Rollout, state ClusterState) {
	type scored struct {
		id, zone string
		score    uint64
		rank     int // in its zone
	}
	var candidates []scored
	for i := range state.Upstreams {
		e := &state.Upstreams[i]
		if e.Service == service && e.Version == r.Target && e.State == registry.Ready && !state.View.Evacuated[e.Zone] {
			candidates = append(candidates, scored{id: e.ID, zone: e.Zone, score: placement.Score(e.ID, r.Target)})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	inZone := make(map[string]int)
	for i := range candidates {
		c := &candidates[i]
		c.rank = inZone[c.zone]
		inZone[c.zone]++
	}
	slices.SortStableFunc(candidates, func(a, b scored) int { return cmp.Compare(a.rank, b.rank) })
	for _, c := range candidates[:rollout.Selected(len(candidates), r.Share)] {
		p.selected[c.id] = true
	}
}

// use returns what the version of an upstream means.
func (p *versionPolicy) use(e registry.Entry) versionUse {
	if p.view == nil {
		return versionUse{}
	}
	if r := p.running(e.Service); r != nil {
		switch e.Version {
		case r.Target:
			return versionUse{version: rollout.New, withheld: !p.selected[e.ID]}
		case r.From:
			return versionUse{version: rollout.Old, withheld: r.Share >= 1}
		}
		return versionUse{omit: true}
	}
	current, known := p.view.Versions[e.Service]
	if !known {
		current = p.first[e.Service]
	}
	return versionUse{omit: e.Version != current}
}

// running returns the running rollout of a service, or nil.
func (p *versionPolicy) running(service string) *routingstate.Rollout {
	if p.view == nil {
		return nil
	}
	if r, ok := p.view.Rollouts[service]; ok && r.State == routingstate.RolloutRunning {
		return &r
	}
	return nil
}
