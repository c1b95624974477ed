package controlstate

// Counts is the number of items of each kind that a Machine holds.
type Counts struct {
	Sessions, LeavingSessions        int
	Upstreams, UpstreamsWithoutOwner int
	Handovers                        int // Upstreams with a handover in progress.
	ConfigChanges                    int // Recorded results of configuration changes.
	Fingerprints, Blocked            int
	Claims                           ClaimCounts
}

// ClaimCounts is the number of claims that a Machine holds, in total and by state, and the size of the recorded responses.
type ClaimCounts struct {
	Total, Running, OutcomeUnknown, Completed, ResponseTooLarge, Released int
	ResponseBytes                                                         int
}

// Counts returns the current counts. It iterates over every upstream and claim, so it is too slow for the request path.
func (m *Machine) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.state
	c := Counts{
		Sessions: len(s.sessions.byID), Upstreams: len(s.upstreams.byID), ConfigChanges: len(s.changes.order),
		Fingerprints: len(s.crashes.byKey), Claims: s.claims.counts(),
	}
	for _, info := range s.sessions.byID {
		c.LeavingSessions += boolToInt(info.Leaving)
	}
	for _, u := range s.upstreams.byID {
		c.UpstreamsWithoutOwner += boolToInt(u.Owner == 0)
		c.Handovers += boolToInt(u.MovingTo != 0)
	}
	for _, r := range s.crashes.byKey {
		c.Blocked += boolToInt(r.BlockedUntilUnixMilli != 0)
	}
	return c
}

func (t *claimTable) counts() ClaimCounts {
	c := ClaimCounts{Total: len(t.byKey), ResponseBytes: t.responseBytes}
	for _, claim := range t.byKey {
		c.Running += boolToInt(claim.state == claimRunning)
		c.OutcomeUnknown += boolToInt(claim.state == claimOutcomeUnknown)
		c.Completed += boolToInt(claim.state == claimCompleted)
		c.ResponseTooLarge += boolToInt(claim.state == claimResponseTooLarge)
		c.Released += boolToInt(claim.state == claimReleased)
	}
	return c
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
