package controlstate

// Counts is how much of each kind of state a Machine holds.
type Counts struct {
	Sessions, LeavingSessions        int
	Upstreams, UpstreamsWithoutOwner int
	HandOvers                        int // Upstreams that their owner was asked to hand over.
	Changes                          int // Results of configuration changes.
	Fingerprints, Blocked            int
	Claims                           ClaimCounts
}

// ClaimCounts is how many claims a Machine holds.
type ClaimCounts struct {
	Total, Running, OutcomeUnknown, Answered, NotRecorded, Released int
	AnswerBytes                                                     int
}

// Counts counts the state. It visits every upstream and claim; call it for metrics, not for each request.
func (m *Machine) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.state
	c := Counts{
		Sessions: len(s.sessions.byID), Upstreams: len(s.upstreams.byID), Changes: len(s.changes.order),
		Fingerprints: len(s.crashes.byKey), Claims: s.claims.counts(),
	}
	for _, info := range s.sessions.byID {
		c.LeavingSessions += count(info.Leaving)
	}
	for _, u := range s.upstreams.byID {
		c.UpstreamsWithoutOwner += count(u.Owner == 0)
		c.HandOvers += count(u.MovingTo != 0)
	}
	for _, r := range s.crashes.byKey {
		c.Blocked += count(r.BlockedToMillis != 0)
	}
	return c
}

func (t *claimTable) counts() ClaimCounts {
	c := ClaimCounts{Total: len(t.byKey), AnswerBytes: t.answerBytes}
	for _, claim := range t.byKey {
		c.Running += count(claim.state == claimRunning)
		c.OutcomeUnknown += count(claim.state == claimUnknown)
		c.Answered += count(claim.state == claimAnswered)
		c.NotRecorded += count(claim.state == claimTooLarge)
		c.Released += count(claim.state == claimReleased)
	}
	return c
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
