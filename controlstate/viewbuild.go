package controlstate

import (
	"cmp"
	"slices"
)

// View returns the current view. It is shared and immutable; the same pointer is returned until something visible to
// gateways changes.
func (m *Machine) View() *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentView()
}

func (m *Machine) currentView() *View {
	if m.view == nil {
		m.view = m.state.buildView()
	}
	return m.view
}

func (s *state) buildView() *View {
	v := &View{
		Index: s.viewIndex, Config: s.config, ConfigVersion: s.configVersion, ConfigDigest: s.configDigest,
		Sessions:  make([]SessionInfo, 0, len(s.sessions.byID)),
		Upstreams: make([]UpstreamInfo, 0, len(s.upstreams.byID)),
	}
	for _, info := range s.sessions.byID {
		v.Sessions = append(v.Sessions, *info)
	}
	slices.SortFunc(v.Sessions, func(a, b SessionInfo) int { return cmp.Compare(a.SessionID, b.SessionID) })
	for _, u := range s.upstreams.byID {
		v.Upstreams = append(v.Upstreams, *u)
	}
	slices.SortFunc(v.Upstreams, func(a, b UpstreamInfo) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range s.crashes.sorted() {
		if r.BlockedUntilUnixMilli != 0 {
			v.Blocked = append(v.Blocked, BlockedFingerprint{r.Key.Service, r.Key.Fingerprint, r.BlockedUntilUnixMilli})
		}
	}
	return v
}

func (t *crashTable) sorted() []*crashRecord {
	records := make([]*crashRecord, 0, len(t.byKey))
	for _, r := range t.byKey {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *crashRecord) int { return a.Key.compare(b.Key) })
	return records
}
