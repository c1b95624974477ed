package cluster

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/resultcode"
	"github.com/bramleypick/bramleypick/roster"
	"github.com/bramleypick/bramleypick/routing"
	"github.com/bramleypick/bramleypick/routingstate"
	"github.com/bramleypick/bramleypick/vfs"
)

// convergenceTimeout bounds how long a test waits for processes to agree. An election takes up to 1.2 s; the rest
// allows for a loaded machine.
const convergenceTimeout = 30 * time.Second

// process is a running Cluster of a test deployment.
type process struct {
	*Cluster
	cfg    Config
	cancel context.CancelFunc
	done   chan error
}

// freePeer returns a node with an unused peer address on loopback. Each node has its own IP address, as on real VMs.
func freePeer(t *testing.T, n int) roster.Node {
	t.Helper()
	ip := fmt.Sprintf("127.0.%d.%d", 10+n/200, 1+n%200)
	l, err := net.Listen("tcp", ip+":0")
	is.New(t).NoErr(err)
	defer l.Close()
	return roster.Node{IP: ip, Name: "vm" + strconv.Itoa(n), Zone: "z" + strconv.Itoa(n%3), PeerAddress: l.Addr().String()}
}

func startProcess(t *testing.T, cfg Config) *process {
	t.Helper()
	cfg.Self.Incarnation = time.Now().UnixNano()
	p := &process{Cluster: New(cfg), cfg: cfg, done: make(chan error, 1)}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	go func() { p.done <- p.Run(ctx) }()
	p.SetState(roster.Serving)
	t.Cleanup(func() { p.stop(t) })
	return p
}

func (p *process) stop(t *testing.T) {
	t.Helper()
	if p.cancel == nil {
		return
	}
	p.cancel()
	p.cancel = nil
	is.New(t).NoErr(<-p.done)
}

// startDeployment starts replicas and other processes. Their seeds are the first three replicas.
func startDeployment(t *testing.T, replicas, others int, changes ...func(*Config)) []*process {
	t.Helper()
	nodes := make([]roster.Node, replicas+others)
	var seeds []string
	for i := range nodes {
		nodes[i] = freePeer(t, i)
		if i < min(replicas, 3) {
			seeds = append(seeds, nodes[i].PeerAddress)
		}
	}
	all := make([]*process, 0, len(nodes))
	for i, n := range nodes {
		cfg := Config{Self: n, Seeds: func() []string { return append([]string(nil), seeds...) }, Log: zap.NewNop()}
		if i < replicas {
			cfg.DataDir, cfg.AllowBootstrap = t.TempDir(), true
		}
		for _, change := range changes {
			change(&cfg)
		}
		all = append(all, startProcess(t, cfg))
	}
	return all
}

// eventually waits until a condition holds, and fails the test after convergenceTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.After(convergenceTimeout)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatal("timed out waiting until " + description)
		}
	}
}

// subscriberCount returns the number of processes that are connected to a replica and have identified themselves.
func subscriberCount(p *process) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.subscribers {
		if s.node.IP != "" && p.replica != nil {
			n++
		}
	}
	return n
}

func voterCount(p *process) int {
	r := p.runningReplica()
	if r == nil {
		return 0
	}
	return len(r.node.Status().Membership.Voters)
}

func putCommand(version, base uint64) routingstate.Command {
	return routingstate.Command{Put: &routing.Config{Version: version, BaseVersion: base, Services: []routing.Service{{Name: "s"}}}}
}

// submitUntilKnown retries a change until its outcome is known, as operators do.
func submitUntilKnown(t *testing.T, p *process, c routingstate.Command) resultcode.Code {
	t.Helper()
	var code resultcode.Code
	eventually(t, "the result is known", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r, err := p.Submit(ctx, c)
		code = r.Code
		return err == nil
	})
	return code
}

func configVersion(p *process) uint64 {
	if c := p.View().Config; c != nil {
		return c.Version
	}
	return 0
}

func readVersion(t *testing.T, p *process) uint64 {
	t.Helper()
	var version uint64
	eventually(t, "a read succeeds", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		v, err := p.Read(ctx)
		if err != nil || v.Config == nil {
			return false
		}
		version = v.Config.Version
		return true
	})
	return version
}

// Guards against deployments of any size whose processes do not discover each other from three seed addresses, and
// against an accepted change that does not reach every process.
func TestProcessesDiscoverEachOther(t *testing.T) {
	for _, replicas := range []int{1, 2, 3, 6} {
		t.Run(strconv.Itoa(replicas), func(t *testing.T) {
			is := is.New(t)
			all := startDeployment(t, replicas, 3)
			for _, p := range all {
				eventually(t, "every process sees all processes", func() bool { return len(p.Nodes()) == len(all) })
			}
			is.Equal(submitUntilKnown(t, all[replicas], putCommand(7, 0)), resultcode.OK)
			for _, p := range all {
				eventually(t, "the change reaches every process", func() bool { return configVersion(p) == 7 })
				is.Equal(readVersion(t, p), uint64(7))
			}
			eventually(t, "every replica votes", func() bool { return voterCount(all[0]) == replicas })
		})
	}
}

// Guards against losing an accepted change or becoming unable to accept changes when a replica loses its disk or is
// replaced at another address, and against a replica that votes under its old id after losing its disk.
func TestReplicaIsReplaced(t *testing.T) {
	for _, test := range []struct {
		description string
		moved       bool // restarts at another address
	}{{"lost disk", false}, {"other address", true}} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			all := startDeployment(t, 3, 1)
			eventually(t, "every replica votes", func() bool { return voterCount(all[0]) == 3 })
			is.Equal(submitUntilKnown(t, all[3], putCommand(1, 0)), resultcode.OK)
			old := all[0].Self().ReplicaID
			all[0].stop(t)
			cfg := all[0].cfg
			cfg.DataDir, cfg.AllowBootstrap = t.TempDir(), false
			if test.moved {
				cfg.Self = freePeer(t, 100)
			}
			replacement := startProcess(t, cfg)
			eventually(t, "the new replica votes and the old one is gone", func() bool {
				r := replacement.runningReplica()
				if r == nil {
					return false
				}
				m := r.node.Status().Membership
				return len(m.Voters) == 3 && m.IsVoter(r.id) && uint64(r.id) != old
			})
			is.Equal(readVersion(t, replacement), uint64(1))
			// The group must tolerate the next loss.
			all[1].stop(t)
			is.Equal(submitUntilKnown(t, all[3], putCommand(2, 1)), resultcode.OK)
			is.Equal(readVersion(t, replacement), uint64(2))
		})
	}
}

// Guards against losing accepted changes when all processes stop at once, and against creating a second group when they
// restart.
func TestAllProcessesRestart(t *testing.T) {
	is := is.New(t)
	all := startDeployment(t, 3, 1)
	is.Equal(submitUntilKnown(t, all[3], putCommand(1, 0)), resultcode.OK)
	is.Equal(submitUntilKnown(t, all[3], routingstate.Command{Evacuate: &routingstate.Evacuation{Zone: "z1"}}), resultcode.OK)
	eventually(t, "every replica votes", func() bool { return voterCount(all[0]) == 3 })
	for _, p := range all {
		p.stop(t)
	}
	for i, p := range all {
		all[i] = startProcess(t, p.cfg) // the settings still allow bootstrapping
	}
	is.Equal(readVersion(t, all[3]), uint64(1))
	for _, p := range all {
		eventually(t, "the state reaches every process", func() bool { return configVersion(p) == 1 && p.View().Evacuated["z1"] })
	}
}

// Guards against reads of an old configuration and against false acknowledgements by a replica that cannot reach the
// others.
func TestMinorityRefuses(t *testing.T) {
	is := is.New(t)
	all := startDeployment(t, 3, 0)
	eventually(t, "every replica votes", func() bool { return voterCount(all[0]) == 3 && voterCount(all[2]) == 3 })
	is.Equal(submitUntilKnown(t, all[0], putCommand(1, 0)), resultcode.OK)
	all[1].stop(t)
	all[2].stop(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := all[0].Read(ctx)
	is.True(err != nil)
	_, err = all[0].Submit(ctx, putCommand(2, 1))
	is.True(err != nil)
	draining := registry.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", State: registry.Draining, Incarnation: 1, Seq: 2}
	is.True(all[0].Announce(ctx, draining) != nil) // a drain that no other replica has stored
	ready := draining
	ready.ID, ready.Address, ready.State = "v", "10.0.0.2:80", registry.Ready
	is.NoErr(all[0].Announce(ctx, ready)) // its next announcement reaches the others
}

// Guards against announcements and drains that do not reach every process, whichever process received them.
func TestAnnouncementsReachEverybody(t *testing.T) {
	is := is.New(t)
	all := startDeployment(t, 3, 2)
	eventually(t, "every replica votes", func() bool { return voterCount(all[0]) == 3 })
	e := registry.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z1", State: registry.Ready, Incarnation: 1, Seq: 1}
	steps := []struct {
		at    *process
		entry registry.Entry
		state registry.State
	}{
		{all[4], e, registry.Ready},
		{all[1], registry.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z1", State: registry.Draining, Incarnation: 1, Seq: 2}, registry.Draining},
		{all[3], registry.Entry{ID: "u", State: registry.Gone}, registry.Gone}, // a deregistration contains only the id
		{all[2], e, registry.Gone}, // a late announcement
		{all[0], registry.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z1", State: registry.Ready, Incarnation: 9, Seq: 1}, registry.Ready},
		{all[4], registry.Entry{ID: "u", State: registry.Gone, Incarnation: 1}, registry.Ready}, // a late deregistration of the first process
		{all[3], registry.Entry{ID: "u", State: registry.Gone, Incarnation: 9}, registry.Gone},
	}
	for _, step := range steps {
		eventually(t, "the announcement is acknowledged", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return step.at.Announce(ctx, step.entry) == nil
		})
		for _, p := range all {
			eventually(t, "every process has the state", func() bool {
				known, ok := p.registry.Get("u")
				return ok && known.State == step.state
			})
		}
	}
	is.Equal(len(all[0].Upstreams()), 1)
}

// Guards against sending clients to a process that was lost or is leaving.
func TestLostAndLeavingProcesses(t *testing.T) {
	all := startDeployment(t, 3, 2)
	for _, p := range all {
		eventually(t, "every process sees all processes", func() bool { return len(p.Nodes()) == len(all) })
	}
	all[3].SetState(roster.Leaving)
	all[4].stop(t)
	eventually(t, "one process is leaving and one is gone", func() bool {
		nodes := all[0].Nodes()
		leaving := 0
		for _, n := range nodes {
			if n.State == roster.Leaving {
				leaving++
			}
		}
		return len(nodes) == 4 && leaving == 1
	})
}

// Guards against a deployment that has no upstreams after a restart of all processes until each upstream announces
// itself again.
func TestUpstreamsAreKnownAfterARestart(t *testing.T) {
	all := startDeployment(t, 1, 1)
	e := registry.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z1", State: registry.Ready, Incarnation: 1, Seq: 1}
	eventually(t, "the announcement is acknowledged", func() bool { return all[0].Announce(t.Context(), e) == nil })
	eventually(t, "the upstreams are saved", func() bool {
		entries, err := loadRegistry(vfs.OS{}, all[0].cfg.DataDir)
		return err == nil && len(entries) == 1
	})
	for _, p := range all {
		p.stop(t)
	}
	for i, p := range all {
		all[i] = startProcess(t, p.cfg)
	}
	for _, p := range all {
		eventually(t, "the upstream is known", func() bool { return len(p.Upstreams()) == 1 })
	}
}

// Guards against accepting a file of upstreams that a power loss truncated. The process must start without the saved
// upstreams instead.
func TestDamagedUpstreamsFile(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	entries := []registry.Entry{{ID: "u", State: registry.Ready}}
	is.NoErr(saveRegistry(vfs.OS{}, dir, entries))
	is.NoErr(saveRegistry(vfs.OS{}, dir, entries)) // replaces the existing file
	loaded, err := loadRegistry(vfs.OS{}, dir)
	is.NoErr(err)
	is.Equal(loaded, entries)
	is.NoErr(vfs.OS{}.Truncate(filepath.Join(dir, registryFile), 2))
	_, err = loadRegistry(vfs.OS{}, dir)
	is.True(err != nil)
}

// Guards against a restarted process that the others consider lost forever, because the wall clock was set back and its
// incarnation is lower than that of the previous process.
func TestRestartAfterTheClockWasSetBack(t *testing.T) {
	all := startDeployment(t, 1, 2)
	for _, p := range all {
		eventually(t, "every process sees all processes", func() bool { return len(p.Nodes()) == len(all) })
	}
	all[2].stop(t)
	eventually(t, "the process is lost", func() bool { return len(all[1].Nodes()) == 2 })
	cfg := all[2].cfg
	cfg.Self.Incarnation = 1
	c := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	eventually(t, "the process is alive again", func() bool { return len(all[1].Nodes()) == 3 && len(c.Nodes()) == 3 })
	cancel()
	is.New(t).NoErr(<-done)
}

// Guards against failure reports that do not reach the other processes, and against a process that receives its own
// report and so counts its failures twice.
func TestFailuresReachTheOthers(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	reported := make(map[string]int) // by process and upstream
	count := func(process, upstream string) int {
		mu.Lock()
		defer mu.Unlock()
		return reported[process+" "+upstream]
	}
	all := startDeployment(t, 3, 2, func(cfg *Config) {
		name := cfg.Self.Name
		cfg.OnFailures = func(counts map[string]int) {
			mu.Lock()
			defer mu.Unlock()
			for id, n := range counts {
				reported[name+" "+id] += n
			}
		}
	})
	for _, replica := range all[:3] {
		// Reports that cannot be sent are dropped, so every other process must be connected to the replica that relays.
		eventually(t, "every other process is connected to the replica", func() bool { return subscriberCount(replica) == len(all)-1 })
	}
	all[0].ShareFailures(map[string]int{"u": 1}) // from a replica
	all[4].ShareFailures(map[string]int{"v": 2}) // from a process without a replica
	for i, p := range all {
		eventually(t, "the other processes receive each report once", func() bool {
			u, v := count(p.cfg.Self.Name, "u"), count(p.cfg.Self.Name, "v")
			return u == map[bool]int{true: 0, false: 1}[i == 0] && v == map[bool]int{true: 0, false: 2}[i == 4]
		})
	}
	all[0].ShareFailures(map[string]int{"u": 1}) // within failuresInterval of the first report
	for _, p := range all[1:] {
		eventually(t, "the other processes receive the delayed report", func() bool { return count(p.cfg.Self.Name, "u") == 2 })
	}
	is.Equal(count(all[0].cfg.Self.Name, "u"), 0)
	is.Equal(count(all[4].cfg.Self.Name, "v"), 0)
}

// Guards against an announcement whose text is not valid UTF-8 and that keeps the other processes from reading the
// announcements sent along with it.
func TestAnnouncementWithInvalidText(t *testing.T) {
	is := is.New(t)
	all := startDeployment(t, 3, 1)
	eventually(t, "every replica votes", func() bool { return voterCount(all[0]) == 3 })
	announce := func(id string) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return all[0].Announce(ctx, registry.Entry{ID: id, Service: "s", Address: "10.0.0." + strconv.Itoa(len(id)) + ":80", Zone: "z1", State: registry.Ready, Incarnation: 1, Seq: 1})
	}
	invalid := announce("u\xff")
	eventually(t, "the announcement is acknowledged", func() bool { return announce("u") == nil })
	late := startProcess(t, Config{Self: freePeer(t, 90), Seeds: all[0].cfg.Seeds, Log: zap.NewNop()})
	for _, p := range append(all, late) {
		eventually(t, "the valid announcement reaches every process", func() bool {
			_, known := p.registry.Get("u")
			return known
		})
	}
	is.True(invalid != nil)
	is.Equal(len(late.Upstreams()), 1)
}
