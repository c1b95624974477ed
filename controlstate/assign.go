package controlstate

import (
	"slices"

	"github.com/bramleypick/bramleypick/resultcode"
)

func (m *Machine) assign(c *Assign) Result {
	u, session := m.state.upstreams.byID[c.UpstreamID], m.state.sessions.byID[c.SessionID]
	switch {
	case u == nil:
		return unknownUpstream(c.UpstreamID)
	case session == nil:
		return unknownSession(c.SessionID)
	case session.Leaving:
		return failure(resultcode.ShuttingDown, "session %d is leaving", c.SessionID)
	case u.Owner == c.SessionID && u.Epoch == c.Epoch+1:
		return Result{Epoch: u.Epoch} // A retry of the command that assigned the upstream.
	case u.Epoch != c.Epoch:
		return staleEpoch(u)
	case m.state.services[u.Service] == nil:
		return failure(resultcode.UnknownService, "the configuration has no service %q", u.Service)
	case u.Owner == 0:
		m.setOwner(u, c.SessionID)
	default:
		to := c.SessionID
		if to == u.Owner {
			to = 0 // Assigning to the owner cancels a handover.
		}
		if u.MovingTo != to {
			u.MovingTo = to
			m.invalidateView()
		}
	}
	return Result{Epoch: u.Epoch}
}

func (m *Machine) release(c *Release) Result {
	u := m.state.upstreams.byID[c.UpstreamID]
	switch {
	case !m.state.sessions.exists(c.SessionID):
		return unknownSession(c.SessionID)
	case c.Remaining < 0 || c.Remaining > maxRemaining:
		return failure(resultcode.MalformedCommand, "remaining is %d, outside 0 to %d", c.Remaining, maxRemaining)
	case u == nil:
		return unknownUpstream(c.UpstreamID)
	case u.Owner != c.SessionID || u.Epoch != c.Epoch:
		return staleEpoch(u)
	}
	to := u.MovingTo
	if next := m.state.sessions.byID[to]; next == nil || next.Leaving || m.state.services[u.Service] == nil {
		to = 0
	}
	u.Remaining, u.OwnerLost = c.Remaining, false
	u.recordRelease(c.SessionID)
	m.setOwner(u, to)
	m.removeIfUnconfigured(u)
	return Result{Epoch: u.Epoch}
}

// recordRelease records that session may still have requests in flight. Remaining counts the requests of all earlier owners,
// so a release with none remaining clears the list.
func (u *UpstreamInfo) recordRelease(session uint64) {
	if u.Remaining == 0 {
		u.ReleasedBy = nil
		return
	}
	if len(u.ReleasedBy) < maxReleasedBy && !slices.Contains(u.ReleasedBy, session) {
		u.ReleasedBy = append(slices.Clone(u.ReleasedBy), session)
	}
}

// setOwner changes the owner, where 0 means none, and ends a handover.
func (m *Machine) setOwner(u *UpstreamInfo, session uint64) {
	u.Owner, u.MovingTo = session, 0
	u.Epoch++
	m.invalidateView()
}

// revokeUpstreams removes an expired session as the owner of its upstreams. For every upstream at which requests of the session
// may still run, including those that the session released earlier, it records the time of the expiry.
func (m *Machine) revokeUpstreams(session uint64) {
	for _, u := range m.state.upstreams.byID {
		if u.Owner == session || slices.Contains(u.ReleasedBy, session) {
			u.OrphanedAtUnixMilli = m.state.now
			u.ReleasedBy = slices.DeleteFunc(slices.Clone(u.ReleasedBy), func(id uint64) bool { return id == session })
			m.invalidateView()
		}
		if u.Owner == session {
			u.Remaining, u.OwnerLost = 0, true
			m.setOwner(u, 0)
			m.removeIfUnconfigured(u)
		}
	}
}

// cancelHandovers cancels handovers to a session that is leaving or has expired, so that the leader can plan new ones.
func (m *Machine) cancelHandovers(to uint64) {
	for _, u := range m.state.upstreams.byID {
		if u.MovingTo == to {
			u.MovingTo = 0
		}
	}
}

func staleEpoch(u *UpstreamInfo) Result {
	r := failure(resultcode.StaleEpoch, "upstream %s is owned by session %d at epoch %d", u.ID, u.Owner, u.Epoch)
	r.Epoch = u.Epoch
	return r
}
