package controlnode

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/vfs"
	"github.com/bramleypick/bramleypick/vfs/vfstest"
	"github.com/bramleypick/bramleypick/wal"
)

// forEachGroupSize runs a test with groups of three and of five replicas, under simulated time.
func forEachGroupSize(t *testing.T, configure func(*Config), test func(t *testing.T, g *group)) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("replicas=%d", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newGroup(t, size, configure)) })
		})
	}
}

// slowSync is a file system whose fsync takes syncTime. With an immediate fsync, it would depend on goroutine scheduling
// whether proposals accumulate during an fsync.
type slowSync struct{ vfs.FS }

const syncTime = time.Millisecond

func (s slowSync) Create(name string) (vfs.File, error) { return withSlowSync(s.FS.Create(name)) }

func (s slowSync) Append(name string) (vfs.File, error) { return withSlowSync(s.FS.Append(name)) }

func withSlowSync(f vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return slowFile{f}, nil
}

type slowFile struct{ vfs.File }

func (f slowFile) Sync() error {
	time.Sleep(syncTime)
	return f.File.Sync()
}

// Guards against results returned to the wrong proposals, and against one fsync per proposal under load.
func TestConcurrentProposals(t *testing.T) {
	forEachGroupSize(t, func(cfg *Config) { cfg.FS = slowSync{cfg.FS} }, func(t *testing.T, g *group) {
		is := is.New(t)
		leader := g.leader()
		before := g.node(leader).Stats()
		o := g.proposeAll(t.Context(), leader, numberedCommands("c", 300))
		o.wg.Wait()
		succeeded, _, _ := o.check(t, g.waitConverged())
		is.Equal(succeeded, 300)
		after := g.node(leader).Stats()
		is.Equal(after.Log.Entries-before.Log.Entries, uint64(300))
		is.True(after.Log.Saves-before.Log.Saves < 30) // all but the first accumulate during an fsync
	})
}

// Guards against losing commands in a restart after hundreds of them, from the log or from a snapshot, and against keeping
// the whole log although snapshots are taken.
func TestRestartAfter300Proposals(t *testing.T) {
	for name, every := range map[string]int{"log": 1000, "snapshot": 100} {
		configure := func(c *Config) { c.SnapshotEntries, c.WAL = every, smallSegments }
		t.Run(name, func(t *testing.T) {
			forEachGroupSize(t, configure, func(t *testing.T, g *group) {
				is := is.New(t)
				commands := numberedCommands("c", 300)
				g.propose(commands...)
				g.waitConverged()
				for _, id := range g.running() { // all at once, so that the state is restored from the disks only
					g.kill(id)
				}
				for _, id := range g.bootstrapIDs {
					g.restart(id)
				}
				g.propose("last")
				is.Equal(g.waitConverged(), append(commands, "last"))
				compacted := g.node(1).Status().Compacted
				is.Equal(compacted >= 300, every == 100)
			})
		})
	}
}

// Guards against a replica failing to catch up from a snapshot after it was down for a long time, or failing to restart
// right after it received one.
func TestCatchUpFromSnapshot(t *testing.T) {
	configure := func(c *Config) { c.SnapshotEntries, c.DemoteAfter = 50, -1 }
	forEachGroupSize(t, configure, func(t *testing.T, g *group) {
		is := is.New(t)
		leader := g.leader()
		lagging := g.bootstrapIDs[0]
		if lagging == leader {
			lagging = g.bootstrapIDs[1]
		}
		g.kill(lagging)
		g.propose(numberedCommands("c", 200)...)
		g.restart(lagging)
		g.waitConverged()
		is.True(g.node(lagging).Status().Compacted >= 150)
		g.kill(lagging)
		g.restart(lagging)
		g.propose("last")
		is.Equal(len(g.waitConverged()), 201)
	})
}

// Guards against stopping a replica because a snapshot from the leader arrived while an older one was being written.
func TestStaleSnapshotIsIgnored(t *testing.T) {
	n := &Node{snapshots: &snapshotter{}}
	n.snapshots.inProgress.Store(true)
	is.New(t).NoErr(n.compact(savedSnapshot{err: wal.ErrStaleSnapshot}))
	is.New(t).True(!n.snapshots.inProgress.Load())
}

// Guards against stale reads at a deposed leader, against one confirmation per read under load, and against reads before
// an earlier write is applied.
func TestReadBarrier(t *testing.T) {
	forEachGroupSize(t, nil, func(t *testing.T, g *group) {
		is := is.New(t)
		leader := g.leader()
		g.propose(numberedCommands("c", 10)...)
		// A message takes some simulated time, during which all other readers arrive.
		g.observeSends(func(replog.NodeID, replog.Message) { time.Sleep(time.Millisecond) })
		before := g.node(leader).Stats().ReadConfirmations
		var readers sync.WaitGroup
		for range 200 {
			readers.Go(func() {
				index, err := g.node(leader).ReadBarrier(t.Context())
				if err != nil || index < 11 || len(g.commands(leader)) < 10 {
					t.Errorf("barrier at index %d, error %v", index, err)
				}
			})
		}
		readers.Wait()
		// The first confirmation is for the readers that arrived before it started, the second one for all others.
		is.True(g.node(leader).Stats().ReadConfirmations-before <= 2)
		g.observeSends(nil)
		_, err := g.node(leader%replog.NodeID(len(g.bootstrapIDs)) + 1).ReadBarrier(t.Context())
		is.True(errors.Is(err, ErrNotLeader)) // a follower
		g.isolate(leader, true)
		_, err = g.node(leader).ReadBarrier(t.Context())
		is.True(errors.Is(err, ErrNotLeader))
	})
}

// Guards against starting with a corrupt log, and against a Query that never returns on a stopped node.
func TestCorruptLogAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 3, nil)
		g.propose(numberedCommands("c", 10)...)
		node, sm := g.node(1), g.replicas[1].sm
		g.waitConverged()
		g.kill(1)
		ran := 0
		node.Query(func() { ran = len(sm.commands) })
		is.Equal(ran, 10)
		_, err := node.Propose(t.Context(), []byte("x"))
		is.True(errors.Is(err, ErrNotLeader) && errors.Is(err, ErrStopped))
		fsys := g.replicas[1].fs.(*vfstest.FS)
		names, err := fsys.List("data")
		is.NoErr(err)
		fsys.Corrupt("data/"+names[len(names)-1], 20)
		_, err = Start(Config{ID: 1, Dir: "data", FS: fsys}, &commandRecorder{}, groupTransport{g, 1})
		var corrupt *wal.CorruptError
		is.True(errors.As(err, &corrupt))
	})
}
