package gateway

import (
	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
)

// snapshot is a view indexed for request handling. It is immutable once it is the current one.
type snapshot struct {
	view *controlstate.View
	// session is the session whose upstreams this gateway uses.
	session  uint64
	services map[string]*serviceView
}

// serviceView is the part of a view that concerns one service.
type serviceView struct {
	config    dynconfig.Service
	accounts  []dynconfig.ClientAccount
	upstreams map[string]*upstreamView
	// upstreamList holds the upstreams in the order of the view.
	upstreamList        []*upstreamView
	blockedFingerprints map[string]int64
	service             *service
}

// upstreamView is one upstream of a view.
type upstreamView struct {
	controlstate.UpstreamInfo
	stopping bool
	// pool is nil if this gateway sends no work to the upstream.
	pool Pool
}

// ignoresOwnership reports whether the service has a baseline policy, which uses all upstreams regardless of their
// owners.
func (sv *serviceView) ignoresOwnership() bool {
	return sv.config.Policy != dynconfig.PolicyOwner
}

// sendable reports whether this gateway may send work to the upstream under the given session.
func (sv *serviceView) sendable(u *upstreamView, session uint64) bool {
	return sv.ignoresOwnership() || (session != 0 && u.Owner == session)
}

// moving reports whether the upstream's owner has been requested to hand it over. Baseline policies ignore ownership.
func (sv *serviceView) moving(u *upstreamView) bool {
	return !sv.ignoresOwnership() && u.MovingTo != 0 && u.MovingTo != u.Owner
}

func (g *Gateway) newSnapshot(v *controlstate.View, previous *snapshot) *snapshot {
	session := g.deps.Lease.SessionID()
	s := &snapshot{view: v, session: session, services: make(map[string]*serviceView, len(v.Config.Services))}
	for i := range v.Config.Services {
		config := v.Config.Services[i].WithDefaults()
		s.services[config.Name] = &serviceView{
			config: config, accounts: v.Config.ClientAccounts,
			upstreams: make(map[string]*upstreamView), blockedFingerprints: make(map[string]int64),
		}
	}
	for _, info := range v.Upstreams {
		sv := s.services[info.Service]
		if sv == nil {
			continue
		}
		u := &upstreamView{UpstreamInfo: info, stopping: v.Config.UpstreamStopped(info.ID, info.Zone)}
		if sv.sendable(u, session) {
			u.pool = g.pool(u, previous)
		}
		sv.upstreams[info.ID] = u
		sv.upstreamList = append(sv.upstreamList, u)
	}
	for _, b := range v.Blocked {
		if sv := s.services[b.Service]; sv != nil {
			sv.blockedFingerprints[b.Fingerprint] = b.UntilUnixMilli
		}
	}
	return s
}

// pool returns the pool of the previous snapshot if the upstream's address and connection limit are unchanged, and
// otherwise a new one.
func (g *Gateway) pool(u *upstreamView, previous *snapshot) Pool {
	if old := previous.upstream(u.Service, u.ID); old != nil && old.pool != nil && old.Address == u.Address &&
		old.MaxConnections == u.MaxConnections {
		return old.pool
	}
	return g.deps.NewPool(u.Address, u.MaxConnections)
}

func (s *snapshot) upstream(service, id string) *upstreamView {
	if s == nil {
		return nil
	}
	if sv := s.services[service]; sv != nil {
		return sv.upstreams[id]
	}
	return nil
}

// closePools closes the pools that the next snapshot does not use.
func (s *snapshot) closePools(next *snapshot) {
	for name, sv := range s.services {
		for _, u := range sv.upstreamList {
			if u.pool == nil {
				continue
			}
			if n := next.upstream(name, u.ID); n == nil || n.pool != u.pool {
				u.pool.Close()
			}
		}
	}
}

// deleteCrashGuardState deletes the crash guard state of upstreams that are no longer in the view.
func (s *snapshot) deleteCrashGuardState(next *snapshot) {
	for name, sv := range s.services {
		for _, u := range sv.upstreamList {
			if next.upstream(name, u.ID) == nil {
				sv.service.crashGuard.Remove(u.ID)
			}
		}
	}
}
