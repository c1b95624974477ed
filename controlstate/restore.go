package controlstate

import (
	"unique"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/dynconfig"
)

// Restore replaces the state by that of a snapshot. On error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var snap snapshot
	if err := snapshotDecMode.Unmarshal(data, &snap); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if snap.Format != snapshotFormat {
		return errors.Errorf("snapshot has format %d, want %d", snap.Format, snapshotFormat)
	}
	s, err := snap.state()
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.view, m.plan = s, nil, plan{}
	return nil
}

func (snap *snapshot) state() (state, error) {
	s := newState()
	s.index, s.now, s.viewIndex = snap.Index, snap.NowUnixMilli, snap.ViewIndex
	s.configVersion = snap.ConfigVersion
	if snap.ConfigVersion > 0 {
		// The configuration is decoded without validation. It was valid when it was accepted, and a newer binary with
		// stricter rules must still be able to start.
		config, err := dynconfig.Decode(snap.ConfigJSON)
		if err != nil {
			return s, errors.Wrap(err, "decode configuration of snapshot")
		}
		s.setConfig(config, snap.ConfigJSON)
	}
	for _, r := range snap.Changes {
		if r == nil {
			return s, errors.New("snapshot has a null change record")
		}
		s.changes.add(r)
	}
	if err := snap.addSessions(&s); err != nil {
		return s, err
	}
	for i := range snap.Upstreams {
		s.upstreams.add(&snap.Upstreams[i])
	}
	for _, r := range snap.Crashes {
		if r == nil {
			return s, errors.New("snapshot has a null crash record")
		}
		s.crashes.byKey[r.Key] = r
	}
	s.crashes.scheduleNextPrune()
	for _, h := range snap.Horizons {
		if h == nil {
			return s, errors.New("snapshot has a null horizon change")
		}
		s.horizons[h.Service] = h
	}
	for i := range snap.Claims {
		c, err := snap.Claims[i].claim()
		if err != nil {
			return s, err
		}
		s.claims.add(c)
	}
	return s, nil
}

func (snap *snapshot) addSessions(s *state) error {
	for i := range snap.Sessions {
		s.sessions.byID[snap.Sessions[i].SessionID] = &snap.Sessions[i]
	}
	for _, list := range [][]*openRecord{snap.Opens, snap.Expired} {
		for _, r := range list {
			if r == nil {
				return errors.New("snapshot has a null session record")
			}
			s.sessions.opens[r.OpenID] = r
		}
	}
	s.sessions.expired = snap.Expired
	return nil
}

func (r *claimRecord) claim() (*claim, error) {
	if r.State < claimRunning || r.State > claimReleased {
		return nil, errors.Errorf("claim %d of the snapshot has the unknown state %d", r.ID, r.State)
	}
	if r.State == claimCompleted || r.State == claimResponseTooLarge {
		var response RecordedResponse
		if err := decMode.Unmarshal(r.Response, &response); err != nil {
			return nil, errors.Wrapf(err, "decode response of claim %d of the snapshot", r.ID)
		}
	}
	key := r.Key
	key.Service = unique.Make(key.Service).Value()
	key.ClientAccount = unique.Make(key.ClientAccount).Value()
	return &claim{
		key: key, id: r.ID, session: r.Session, attemptID: r.AttemptID, digest: string(r.Digest),
		createdUnixMilli: r.CreatedUnixMilli, horizonMillis: r.HorizonMillis, state: r.State, response: r.Response, heapIndex: -1,
	}, nil
}
