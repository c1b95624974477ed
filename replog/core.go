package replog

import (
	"fmt"
	"slices"
)

// Core is one replica of the replicated log. Its methods must not be called concurrently.
type Core struct {
	cfg Config

	role    Role
	term    uint64
	vote    NodeID
	joining bool   // HardState.Joining
	leader  NodeID // zero if unknown
	log     entryLog
	// history holds the memberships of the log. The last one is in effect.
	history membershipHistory

	// electionElapsed counts the ticks since the last message from the leader, the last granted vote or the last change
	// of role.
	electionElapsed int
	// electionTimeout is the randomized value of electionElapsed at which an election starts.
	electionTimeout int
	// votes holds the voters that granted their vote in the current election.
	votes map[NodeID]bool

	leaderState leaderState

	messages   []Message
	readStates []ReadState
	// persisted is the latest hard state that the caller made durable.
	persisted HardState
}

// leaderState is the state that only a leader has. Every change of role resets it.
type leaderState struct {
	progress         map[NodeID]*progress
	heartbeatElapsed int
	// round is the number of the latest heartbeat round.
	round uint64
	// queuedReads holds the tokens that wait for the next heartbeat round, and pendingReads the reads whose round was
	// sent and is not yet acknowledged by a quorum.
	queuedReads  []uint64
	pendingReads []pendingRead
	// transferee is the target of the leadership transfer in progress, or zero.
	transferee      NodeID
	transferElapsed int
}

// New returns a replica that continues from its durable state. Its error wraps ErrInvalidConfig or ErrCorrupt.
func New(cfg Config, restored RestoredState) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = DefaultMaxMessageBytes
	}
	log, err := newEntryLog(restored)
	if err != nil {
		return nil, err
	}
	base := indexedMembership{membership: cfg.Bootstrap.Clone()}
	if s := restored.Snapshot; s.Index > 0 {
		if err := s.Membership.validate(); err != nil {
			return nil, fmt.Errorf("%w: snapshot %d: %w", ErrCorrupt, s.Index, err)
		}
		base = indexedMembership{index: s.Index, membership: s.Membership.Clone()}
	}
	c := &Core{
		cfg: cfg, term: restored.HardState.Term, vote: restored.HardState.Vote, log: log,
		history: membershipHistory{base}, persisted: restored.HardState, joining: restored.HardState.Joining,
	}
	if restored.HardState == (HardState{}) && log.last() == 0 && len(cfg.Bootstrap.Voters) == 0 {
		c.joining = true
	}
	if err := c.history.add(log.entries); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	// The persisted term is older than the last entry's if the process was killed between writing a snapshot and
	// writing the hard state. In that case no vote in the newer term was sent.
	if last := log.lastTerm(); last > c.term {
		c.term, c.vote = last, 0
	}
	c.endJoining()
	c.becomeFollower(c.term, 0)
	return c, nil
}

// endJoining clears joining once the replica is a learner. From then on it is safe to vote, because a learner is
// promoted only when it holds every entry committed by then.
func (c *Core) endJoining() {
	if c.joining && slices.Contains(c.membership().Learners, c.cfg.ID) {
		c.joining = false
	}
}

// Tick advances time by one tick.
func (c *Core) Tick() {
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.electionElapsed++; c.electionElapsed >= c.electionTimeout {
		c.startElection(true, false)
	}
}

// Step processes a message from another replica. Its error wraps ErrInvalidMessage if the message is malformed and was
// dropped, or ErrCorrupt if the message contradicts committed entries, after which the process must stop.
func (c *Core) Step(m Message) error {
	if err := c.validateMessage(m); err != nil {
		return err
	}
	if m.Term < c.term {
		c.rejectOlderTerm(m)
		return nil
	}
	if m.Term > c.term && !c.adoptTerm(m) {
		return nil
	}
	if c.role == RoleLeader && m.fromLeader() {
		return fmt.Errorf("%w: replica %d is also leader of term %d", ErrCorrupt, m.From, m.Term)
	}
	switch m.Type {
	case MessagePreVote:
		c.handlePreVote(m)
	case MessageVote:
		c.handleVote(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		c.handleVoteResponse(m)
	case MessageAppend:
		c.followLeader(m.From)
		defer c.endJoining()
		return c.handleAppend(m)
	case MessageHeartbeat:
		c.followLeader(m.From)
		c.handleHeartbeat(m)
	case MessageSnapshot:
		c.followLeader(m.From)
		c.handleSnapshot(m)
		c.endJoining()
	case MessageAppendResponse, MessageHeartbeatResponse:
		c.handleFollowerResponse(m)
	case MessageTimeoutNow:
		c.handleTimeoutNow()
	}
	return nil
}

// adoptTerm handles a message with a newer term and moves to that term where the protocol requires it. It returns false
// if the message must be ignored.
func (c *Core) adoptTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote, MessageVote:
		// A replica that receives nothing from the leader must not depose it while other replicas follow it.
		if c.hasRecentLeader() && !m.Transfer {
			return false
		}
		if m.Type == MessagePreVote {
			return true
		}
	case MessagePreVoteResponse:
		if !m.Reject {
			return true // The term is that of the planned election and is not adopted.
		}
	}
	c.becomeFollower(m.Term, 0)
	return true
}

// rejectOlderTerm sends the current term to a sender with an older one. Without this response, a replica that raised
// its term in a failed election would ignore the leader, and the leader would never receive the newer term.
func (c *Core) rejectOlderTerm(m Message) {
	switch {
	case m.Type == MessagePreVote:
		c.send(Message{Type: MessagePreVoteResponse, To: m.From, Reject: true})
	case m.Type == MessageVote:
		c.send(Message{Type: MessageVoteResponse, To: m.From, Reject: true})
	case m.fromLeader():
		c.send(Message{Type: MessageTermNotice, To: m.From})
	}
}

// send queues a message for the next Ready. It fills in the current term if the message has none.
func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

func (c *Core) membership() Membership { return c.history.current().membership }

func (c *Core) isVoter() bool { return c.membership().IsVoter(c.cfg.ID) }

// peers returns the other replicas of the membership in a fixed order, so that the output is deterministic.
func (c *Core) peers() []NodeID {
	m := c.membership()
	return slices.DeleteFunc(slices.Concat(m.Voters, m.Learners), func(id NodeID) bool { return id == c.cfg.ID })
}
