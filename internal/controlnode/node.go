package controlnode

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/wal"
)

// Capacities of the channels between callers, the loop and the applier. Messages beyond inboxCapacity are dropped, which
// replog tolerates. maxEventsPerIteration, the sum of inboxCapacity and proposalCapacity, limits the proposals that share
// one fsync.
const (
	inboxCapacity    = 256
	proposalCapacity = 1024
	barrierCapacity  = 1024
	applyCapacity    = 64
)

// StateMachine is the state that the group replicates. Its methods are never called concurrently.
type StateMachine interface {
	// Apply applies a committed command and returns the result for its proposer. It must be deterministic and must not
	// retain or modify data.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the encoded state. An error delays compaction of the log until the next attempt.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one. An error stops the replica.
	Restore(data []byte) error
}

// Transport sends messages to other replicas.
type Transport interface {
	// Send must not block or modify the message, and may drop it.
	Send(to replog.NodeID, m replog.Message)
}

// Node is a running replica. Its methods may be called concurrently.
type Node struct {
	cfg       Config
	log       *wal.Log
	core      *replog.Core // used by the loop only
	transport Transport

	inbox         chan replog.Message
	proposals     chan *proposal
	barriers      chan *barrier
	desiredVoters chan []replog.NodeID // capacity 1; a newer set replaces a pending one
	snapshots     *snapshotter
	applier       *applier
	pending       *pendingProposals
	reads         readConfirmations
	voters        voterPolicy
	leaderTerm    uint64 // term in which this replica is the leader, 0 if it is not; used by the loop only

	status   atomic.Pointer[replog.Status]
	lease    lease
	counters counters
	failed   chan error
	stopping chan struct{} // closed by Stop or after an error of the applier
	loopDone chan struct{}
	stopped  chan struct{} // closed once nothing more will be applied
	stopOnce sync.Once
}

// Start opens the data directory and starts the replica. If the directory is corrupt, the error is a *wal.CorruptError or
// replog.ErrCorrupt.
func Start(cfg Config, sm StateMachine, t Transport) (*Node, error) {
	if cfg.ID == 0 || cfg.Dir == "" {
		return nil, fmt.Errorf("%w: ID and Dir are required", replog.ErrInvalidConfig)
	}
	cfg = cfg.withDefaults()
	log, restored, err := wal.Open(cfg.FS, cfg.Dir, cfg.WAL)
	if err != nil {
		return nil, err
	}
	n, err := newNode(cfg, log, restored, sm, t)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	go n.runApplier()
	go n.run()
	return n, nil
}

func newNode(cfg Config, log *wal.Log, restored replog.RestoredState, sm StateMachine, t Transport) (*Node, error) {
	bootstrap := cfg.Bootstrap.Contains(cfg.ID)
	if bootstrap && restored.Snapshot.Index == 0 && len(restored.Entries) == 0 {
		if err := saveBootstrap(&restored, cfg, log, sm); err != nil {
			return nil, err
		}
	}
	core, err := replog.New(replog.Config{
		ID: cfg.ID, ElectionTicks: cfg.ElectionTicks, HeartbeatTicks: cfg.HeartbeatTicks, Rand: cfg.Rand,
		MaxMessageBytes: cfg.MaxMessageBytes,
	}, restored)
	if err != nil {
		return nil, err
	}
	if restored.Snapshot.Index > 0 {
		if err := sm.Restore(restored.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("restoring snapshot %d: %w", restored.Snapshot.Index, err)
		}
	}
	n := &Node{
		cfg: cfg, log: log, core: core, transport: t,
		inbox:         make(chan replog.Message, inboxCapacity),
		proposals:     make(chan *proposal, proposalCapacity),
		barriers:      make(chan *barrier, barrierCapacity),
		desiredVoters: make(chan []replog.NodeID, 1),
		pending:       newPendingProposals(),
		snapshots:     newSnapshotter(cfg, log),
		voters:        voterPolicy{demoteTicks: cfg.demoteTicks(), desired: slices.Clone(cfg.DesiredVoters)},
		failed:        make(chan error, 1),
		stopping:      make(chan struct{}),
		loopDone:      make(chan struct{}),
		stopped:       make(chan struct{}),
	}
	n.applier = newApplier(sm, restored.Snapshot.Index, n.pending, n.snapshots, &n.counters)
	n.updateStatus()
	return n, nil
}

// saveBootstrap persists the bootstrap membership as the snapshot at index 1. Later starts therefore do not depend on the
// configuration, and joining replicas receive the membership from the leader.
func saveBootstrap(restored *replog.RestoredState, cfg Config, log *wal.Log, sm StateMachine) error {
	data, err := sm.Snapshot()
	if err != nil {
		return err
	}
	s := replog.Snapshot{Index: 1, Term: 1, Membership: cfg.Bootstrap.Clone(), Data: data}
	if err := log.SaveSnapshot(s); err != nil {
		return err
	}
	restored.Snapshot = s
	restored.HardState.Term = max(restored.HardState.Term, s.Term)
	restored.HardState.Commit = max(restored.HardState.Commit, s.Index)
	return nil
}

// Receive queues a message from another replica. It never blocks; if the inbox is full, the message is dropped.
func (n *Node) Receive(m replog.Message) {
	select {
	case n.inbox <- m:
	default:
		n.counters.droppedMessages.Add(1)
	}
}

// Status returns the state of the replica after its last iteration.
func (n *Node) Status() replog.Status { return *n.status.Load() }

// Failed returns the channel that delivers the error after which the replica stopped on its own: a failed write or fsync,
// or corrupt state. The process must then exit, unless the disk was full (vfs.IsFull): it may then call Stop, and Start again.
func (n *Node) Failed() <-chan error { return n.failed }

// Query runs f on the applier's goroutine between two Apply calls and returns once f has returned. On a stopped Node, f
// runs on the calling goroutine. f must not call Query.
func (n *Node) Query(f func()) { n.applier.query(f) }

// SetDesiredVoters replaces Config.DesiredVoters, for instance with a set that omits the replicas of a stopped availability
// zone, which must not be promoted again after their demotion.
func (n *Node) SetDesiredVoters(ids []replog.NodeID) {
	ids = slices.Clone(ids)
	for {
		select {
		case n.desiredVoters <- ids:
			return
		case <-n.stopped:
			return
		default:
		}
		select {
		case <-n.desiredVoters:
		default:
		}
	}
}

// Stop stops the replica, waits for its goroutines and closes the log. The outcome of commands that were appended but not
// applied is unknown.
func (n *Node) Stop() error {
	n.stopOnce.Do(func() { close(n.stopping) })
	<-n.stopped
	n.snapshots.wait()
	return n.log.Close()
}

// Propose appends a command to the log and returns the state machine's result for it. The caller must not modify data
// afterwards. The error is ErrNotLeader if the command was not appended, ErrOutcomeUnknown if leadership was lost, ctx ended
// or the replica stopped after it was appended, or replog.ErrTooLarge.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	return n.submit(ctx, &proposal{data: data, done: make(chan outcome, 1)})
}

// ChangeMembership appends a membership change and returns once it has been applied on this replica. It returns the errors
// of Propose and those of replog's ProposeMembership.
func (n *Node) ChangeMembership(ctx context.Context, c replog.MembershipChange) error {
	_, err := n.submit(ctx, &proposal{change: &c, done: make(chan outcome, 1)})
	return err
}

// Stopped returns a channel that is closed once the replica has stopped and nothing more will be applied.
func (n *Node) Stopped() <-chan struct{} { return n.stopped }
