package controlstate

import "github.com/bramleypick/bramleypick/resultcode"

// openRecord records which session an OpenSession opened. It is kept for openRetentionMillis after the session expired, so
// that a delayed duplicate of the command does not open a second session.
type openRecord struct {
	OpenID             string      `cbor:"1,keyasint"`
	ExpiredAtUnixMilli int64       `cbor:"2,keyasint"` // Time of expiry; 0 while the session exists.
	Session            SessionInfo `cbor:"3,keyasint"` // As opened.
}

type sessionTable struct {
	byID    map[uint64]*SessionInfo
	opens   map[string]*openRecord
	expired []*openRecord // Records of expired sessions, in the order of expiry.
}

func newSessionTable() sessionTable {
	return sessionTable{byID: make(map[uint64]*SessionInfo), opens: make(map[string]*openRecord)}
}

func (t *sessionTable) exists(id uint64) bool {
	return t.byID[id] != nil
}

func (t *sessionTable) prune(now int64) {
	for len(t.expired) > 0 && (len(t.expired) > maxExpiredSessions || t.expired[0].ExpiredAtUnixMilli+openRetentionMillis < now) {
		delete(t.opens, t.expired[0].OpenID)
		t.expired[0] = nil
		t.expired = t.expired[1:]
	}
}

func (m *Machine) openSession(c *OpenSession) Result {
	t := &m.state.sessions
	if !lengthWithin(c.Gateway, 1, maxIDBytes) || !lengthWithin(c.OpenID, 1, maxIDBytes) || !lengthWithin(c.Zone, 1, maxIDBytes) ||
		!lengthWithin(c.CallerAddress, 0, maxAddressBytes) || !lengthWithin(c.PeerAddress, 0, maxAddressBytes) {
		return failure(resultcode.MalformedCommand, "a field of the session is empty or too long")
	}
	info := SessionInfo{
		SessionID: m.state.index, Gateway: c.Gateway, Zone: c.Zone,
		CallerAddress: c.CallerAddress, PeerAddress: c.PeerAddress,
	}
	if r := t.opens[c.OpenID]; r != nil {
		info.SessionID = r.Session.SessionID
		switch {
		case info != r.Session:
			return failure(resultcode.ChangeIDReused, "the open id was used for a different session")
		case !t.exists(info.SessionID):
			return failure(resultcode.UnknownSession, "session %d has expired", info.SessionID)
		}
		return Result{SessionID: info.SessionID}
	}
	if len(t.byID) >= maxSessions {
		return failure(resultcode.ControlUnavailable, "there are %d sessions, the most allowed", len(t.byID))
	}
	t.opens[c.OpenID] = &openRecord{OpenID: c.OpenID, Session: info}
	t.byID[info.SessionID] = &info
	m.invalidateView()
	return Result{SessionID: info.SessionID}
}

func (m *Machine) leaveSession(c *LeaveSession) Result {
	info := m.state.sessions.byID[c.SessionID]
	if info == nil {
		return unknownSession(c.SessionID)
	}
	if !info.Leaving {
		info.Leaving = true
		m.cancelHandovers(c.SessionID)
		m.invalidateView()
	}
	return Result{SessionID: c.SessionID}
}

func (m *Machine) expireSession(c *ExpireSession) Result {
	t := &m.state.sessions
	if !t.exists(c.SessionID) {
		return unknownSession(c.SessionID)
	}
	delete(t.byID, c.SessionID)
	for _, r := range t.opens {
		if r.Session.SessionID == c.SessionID {
			r.ExpiredAtUnixMilli = m.state.now
			t.expired = append(t.expired, r)
			break
		}
	}
	m.cancelHandovers(c.SessionID)
	m.revokeUpstreams(c.SessionID)
	m.state.claims.markOutcomesUnknown(c.SessionID)
	m.invalidateView()
	return Result{SessionID: c.SessionID}
}

func unknownSession(id uint64) Result {
	return failure(resultcode.UnknownSession, "session %d expired or was never opened", id)
}
