package replog

// Role is the role of a replica.
type Role uint8

// Roles of a replica. A learner has RoleFollower, except for a former voter, which may stand for election and lead
// until its demotion is committed.
const (
	RoleFollower     Role = 0
	RolePreCandidate Role = 1
	RoleCandidate    Role = 2
	RoleLeader       Role = 3
)

// String returns the name of the role, or "unknown".
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	}
	return "unknown"
}

// Status describes the state of a replica at one point in time.
type Status struct {
	ID   NodeID
	Role Role
	Term uint64
	// Leader is the leader of Term, or zero if it is unknown.
	Leader NodeID
	// Commit is the last committed index, Applied the last applied index, Last the last index of the log, and Compacted
	// the index of the last snapshot.
	Commit, Applied, Last, Compacted uint64
	// Membership is the membership in effect. ChangePending is set if its entry is not known to be committed.
	Membership    Membership
	ChangePending bool
	// TermCommitted is set if an entry of Term is committed. Only then does a leader accept membership changes.
	TermCommitted bool
	// Transferee is the target of the leadership transfer in progress, or zero.
	Transferee NodeID
	// HeartbeatRound is the latest heartbeat round, and ConfirmedRound the latest one that a quorum has acknowledged. They are set
	// only on a leader, count from 1 in each term, and are zero before the first round.
	HeartbeatRound, ConfirmedRound uint64
	// Progress describes the other replicas. It is set only on a leader.
	Progress map[NodeID]ProgressStatus
}

// ProgressStatus is a leader's view of another replica.
type ProgressStatus struct {
	// Match is the last index that the replica is known to hold durably.
	Match uint64
	// TicksSinceResponse counts the ticks since the replica's last response. If there was none in this term, it counts
	// from the election or, for a replica added since then, from its addition.
	TicksSinceResponse int
	// Reachable is set if the replica responded in this term and within the election timeout.
	Reachable bool
	// SnapshotInFlight is set if a snapshot was sent and is not yet acknowledged.
	SnapshotInFlight bool
}

// Status returns the current status. The result shares no memory with the Core.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.log.commit, Applied: c.log.applied, Last: c.log.last(), Compacted: c.log.snapshot.Index,
		Membership: c.membership().Clone(), ChangePending: c.history.current().index > c.log.commit,
		TermCommitted: c.committedInTerm(), Transferee: c.leaderState.transferee,
	}
	if c.role != RoleLeader {
		return s
	}
	s.HeartbeatRound, s.ConfirmedRound = c.leaderState.round, c.confirmedRound()
	s.Progress = make(map[NodeID]ProgressStatus, len(c.leaderState.progress))
	for id, p := range c.leaderState.progress {
		s.Progress[id] = ProgressStatus{
			Match: p.match, TicksSinceResponse: p.ticksSinceResponse, Reachable: c.reachable(id),
			SnapshotInFlight: p.state == progressSnapshot,
		}
	}
	return s
}
