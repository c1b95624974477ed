package controlnode

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/vfs/vfstest"
	"github.com/bramleypick/bramleypick/wal"
)

// forSizes runs a test with a group of three and of five replicas, under simulated time.
func forSizes(t *testing.T, adjust func(*Config), test func(t *testing.T, g *group)) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("replicas=%d", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newGroup(t, size, adjust)) })
		})
	}
}

// Guards against mixed-up results, and against one fsync for each proposal under load.
func TestConcurrentProposals(t *testing.T) {
	forSizes(t, nil, func(t *testing.T, g *group) {
		is := is.New(t)
		leader := g.leader()
		before := g.node(leader).Stats()
		o := g.proposeAll(t.Context(), leader, numbered("c", 300))
		o.waiting.Wait()
		succeeded, _, _ := o.check(t, g.converged())
		is.Equal(succeeded, 300)
		after := g.node(leader).Stats()
		is.Equal(after.Log.Entries-before.Log.Entries, uint64(300))
		is.True(after.Log.Saves-before.Log.Saves < 150)
	})
}

// Guards against lost or repeated commands and a long outage when the leader is killed under load.
func TestLeaderKilled(t *testing.T) {
	forSizes(t, nil, func(t *testing.T, g *group) {
		is := is.New(t)
		old := g.leader()
		g.propose(numbered("before", 20)...)
		o := g.proposeAll(t.Context(), old, numbered("during", 200))
		g.kill(old)
		killed := time.Now()
		next := g.leader()
		is.True(next != old)
		is.True(time.Since(killed) < 2*time.Second)
		g.propose(numbered("after", 20)...)
		g.restart(old)
		applied := g.converged()
		succeeded, unknown, refused := o.check(t, applied)
		is.Equal(succeeded+unknown+refused, 200)
		is.Equal(len(applied) >= 40+succeeded, true)
	})
}

// Guards against losing changes at restarts after hundreds of them, from the log and from a snapshot, and against
// keeping the whole log although snapshots are taken.
func TestRestartAfter300Proposals(t *testing.T) {
	for name, every := range map[string]int{"log": 1000, "snapshot": 100} {
		adjust := func(c *Config) { c.SnapshotEntries, c.WAL = every, smallLog }
		t.Run(name, func(t *testing.T) {
			forSizes(t, adjust, func(t *testing.T, g *group) {
				is := is.New(t)
				commands := numbered("c", 300)
				g.propose(commands...)
				g.converged()
				for _, id := range g.running() { // all at once, so that only the disks remember
					g.kill(id)
				}
				for _, id := range g.bootIDs {
					g.restart(id)
				}
				g.propose("last")
				is.Equal(g.converged(), append(commands, "last"))
				compacted := g.node(1).Status().Compacted
				is.Equal(compacted >= 300, every == 100)
			})
		})
	}
}

// Guards against a replica that was away for a long time not being able to catch up from a snapshot, and against a
// restart directly after it received one.
func TestCatchUpFromSnapshot(t *testing.T) {
	adjust := func(c *Config) { c.SnapshotEntries, c.DemoteAfter = 50, -1 }
	forSizes(t, adjust, func(t *testing.T, g *group) {
		is := is.New(t)
		leader := g.leader()
		away := g.bootIDs[0]
		if away == leader {
			away = g.bootIDs[1]
		}
		g.kill(away)
		g.propose(numbered("c", 200)...)
		g.restart(away)
		g.converged()
		is.True(g.node(away).Status().Compacted >= 150)
		g.kill(away)
		g.restart(away)
		g.propose("last")
		is.Equal(len(g.converged()), 201)
	})
}

// Guards against a replica that continues after a failed fsync, and against an acknowledgement of what it lost.
func TestFsyncFailureStopsNode(t *testing.T) {
	for nth := 1; nth <= 3; nth++ {
		forSizes(t, nil, func(t *testing.T, g *group) {
			is := is.New(t)
			leader := g.leader()
			g.propose(numbered("before", 5)...)
			g.replicas[leader].fs.(*vfstest.FS).FailSync(nth)
			var all []*outcomes
			for batch := range 4 {
				all = append(all, g.proposeAll(t.Context(), leader, numbered(fmt.Sprint("b", batch, "-"), 10)))
				synctest.Wait()
			}
			err := <-g.node(leader).Failed()
			is.True(errors.Is(err, wal.ErrFailed))
			is.True(errors.Is(err, vfstest.ErrInjected))
			g.mu.Lock()
			sent := g.sent[leader]
			g.mu.Unlock()
			next := g.leader()
			for next == leader {
				time.Sleep(time.Second)
				next = g.leader()
			}
			_, err = g.node(leader).Propose(t.Context(), []byte("refused"))
			is.True(errors.Is(err, ErrNotLeader))
			_, err = g.node(leader).ReadBarrier(t.Context())
			is.True(errors.Is(err, ErrNotLeader))
			g.mu.Lock()
			is.Equal(g.sent[leader], sent) // nothing is sent after the failure
			g.mu.Unlock()
			g.kill(leader)
			g.propose("after")
			g.restart(leader)
			applied := g.converged()
			is.True(!slices.Contains(applied, "refused"))
			total := 0
			for _, o := range all {
				succeeded, unknown, refused := o.check(t, applied)
				is.Equal(succeeded+unknown+refused, 10)
				total += unknown
			}
			is.True(total > 0)
		})
	}
}

// Guards against reporting "not appended" for a command that is in the log of a leader that lost its leadership or its
// caller, in particular if the group applies it later.
func TestLostResultIsOutcomeUnknown(t *testing.T) {
	tests := []struct {
		name    string
		cut     func(g *group, leader replog.NodeID)
		timeout time.Duration
		applied bool
	}{
		{"leader isolated", func(g *group, leader replog.NodeID) { g.isolate(leader, true) }, time.Hour, false},
		{"leader not reachable but heard", func(g *group, leader replog.NodeID) {
			for _, id := range g.running() {
				g.cutLink(id, leader, true)
			}
		}, time.Hour, true},
		{"caller leaves, then the leader commits", func(g *group, leader replog.NodeID) {
			g.isolate(leader, true)
		}, time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forSizes(t, nil, func(t *testing.T, g *group) {
				is := is.New(t)
				leader := g.leader()
				test.cut(g, leader)
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				o := g.proposeAll(ctx, leader, numbered("c", 10))
				o.waiting.Wait()
				g.isolate(leader, false)
				g.propose("after")
				applied := g.converged()
				_, unknown, _ := o.check(t, applied)
				is.Equal(unknown, 10)
				is.Equal(slices.Contains(applied, "c0"), test.applied)
			})
		})
	}
}

// Guards against losing committed changes when a replica loses its disk, returns under a new id, and another replica is
// lost right after it has become a voter again.
func TestDiskLostThenAnotherReplica(t *testing.T) {
	adjust := func(c *Config) { c.SnapshotEntries = 40 }
	forSizes(t, adjust, func(t *testing.T, g *group) {
		is := is.New(t)
		commands := numbered("before", 100)
		g.propose(commands...)
		size := len(g.bootIDs)
		lost, joined := g.bootIDs[size-1], replog.NodeID(size+1)
		desired := append(slices.Clone(g.bootIDs[:size-1]), joined)
		g.kill(lost)
		g.forget(lost)
		g.start(joined, vfstest.New())
		for _, id := range g.running() {
			g.node(id).SetDesiredVoters(desired)
		}
		g.propose("meanwhile")
		g.change(replog.ChangeAddLearner, joined)
		g.until(10*time.Second, "promotion", func() bool { return slices.Contains(g.voters(), joined) })
		is.Equal(g.commands(joined), append(slices.Clone(commands), "meanwhile"))
		g.change(replog.ChangeRemove, lost)
		g.kill(g.leader())
		for _, id := range g.running() {
			if len(g.running()) > size/2+1 && id != joined {
				g.kill(id)
			}
		}
		g.propose("after")
		is.Equal(g.converged(), append(commands, "meanwhile", "after"))
	})
}

// Guards against a replica without history electing itself or voting, which could lose committed entries.
func TestJoinerWithoutMembershipWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 3, nil)
		g.propose("a")
		g.start(7, vfstest.New())
		time.Sleep(time.Minute)
		s := g.node(7).Status()
		is.Equal(s.Role, replog.RoleFollower)
		is.Equal(s.Last, uint64(0))
		_, err := g.node(7).Propose(t.Context(), []byte("x"))
		is.True(errors.Is(err, ErrNotLeader))
		g.kill(1)
		g.kill(2)
		time.Sleep(time.Minute)
		is.True(g.node(3).Status().Role != replog.RoleLeader) // replica 7 gave no vote
	})
}

// Guards against losing the majority when replicas are lost one after another with time to demote, and against
// returned replicas staying learners.
func TestDemotionAndPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 5, nil)
		var down []replog.NodeID
		for len(down) < 3 {
			g.propose(numbered(fmt.Sprint("down", len(down), "-"), 10)...)
			victim := g.leader()
			if len(down) > 0 { // once the leader, then followers
				victim = g.running()[0]
				if victim == g.leader() {
					victim = g.running()[1]
				}
			}
			g.kill(victim)
			down = append(down, victim)
			time.Sleep(DefaultDemoteAfter / 2)
			is.Equal(len(g.voters()), 5-len(down)+1)
			if len(down) < 3 {
				time.Sleep(DefaultDemoteAfter)
				is.Equal(len(g.voters()), 5-len(down))
			}
		}
		time.Sleep(2 * DefaultDemoteAfter)
		is.Equal(len(g.voters()), 3) // two voters could not lose one
		g.propose("with two replicas")
		for _, id := range down {
			g.restart(id)
		}
		g.until(10*time.Second, "all voters", func() bool { return len(g.voters()) == 5 })
		is.Equal(len(g.converged()), 31)
	})
}

// Guards against stale reads at a deposed leader, one confirmation for each of many reads, and reads before an earlier
// write is applied.
func TestReadBarrier(t *testing.T) {
	forSizes(t, nil, func(t *testing.T, g *group) {
		is := is.New(t)
		leader := g.leader()
		g.propose(numbered("c", 10)...)
		before := g.node(leader).Stats().ReadRounds
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
		is.True(g.node(leader).Stats().ReadRounds-before < 50)
		_, err := g.node(leader%replog.NodeID(len(g.bootIDs)) + 1).ReadBarrier(t.Context())
		is.True(errors.Is(err, ErrNotLeader)) // a follower
		g.isolate(leader, true)
		_, err = g.node(leader).ReadBarrier(t.Context())
		is.True(errors.Is(err, ErrNotLeader))
	})
}

// Guards against starting with a damaged log, and against a Query that never returns on a stopped node.
func TestCorruptLogAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 3, nil)
		g.propose(numbered("c", 10)...)
		node, sm := g.node(1), g.replicas[1].sm
		g.converged()
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
		_, err = Start(Config{ID: 1, Dir: "data", FS: fsys}, &record{}, link{g, 1})
		var corrupt *wal.CorruptError
		is.True(errors.As(err, &corrupt))
	})
}
