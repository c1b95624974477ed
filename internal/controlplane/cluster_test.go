package controlplane_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/controlclient"
	"github.com/bramleypick/bramleypick/internal/controlnode"
	"github.com/bramleypick/bramleypick/internal/controlplane"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/vfs/vfstest"
)

const (
	sessionTTL    = 3 * time.Second
	renewInterval = 400 * time.Millisecond
	// inForceLimit is the session TTL plus a margin for the latency and one round of the leader's duties.
	inForceLimit = sessionTTL + 200*time.Millisecond
	// maxTenants bounds the configuration, whose size dominates the time of tests with hundreds of changes.
	maxTenants = 8
	// requestTimeout is the longest class timeout of the test's configuration. It exceeds the session TTL, so that requests
	// outlast the sessions that started them.
	requestTimeout = 8 * time.Second
)

// replica is a control replica.
type replica struct {
	down    bool // guarded by cluster.mu
	node    *controlnode.Node
	server  *controlplane.Server
	machine *controlstate.Machine
	fs      *vfstest.FS
	cancel  context.CancelFunc
}

// observedMachine calls published after each change of the state.
type observedMachine struct {
	*controlstate.Machine
	published func()
}

func (m *observedMachine) Apply(index uint64, data []byte) []byte {
	result := m.Machine.Apply(index, data)
	m.published()
	return result
}

func (m *observedMachine) Restore(data []byte) error {
	err := m.Machine.Restore(data)
	m.published()
	return err
}

// cluster is a control group with its gateways and one operator, in one process and simulated time.
type cluster struct {
	t       *testing.T
	net     *network
	boot    []replog.NodeID
	infos   map[replog.NodeID]controlplane.Replica
	op      *controlclient.Client
	ctx     context.Context
	tenants []string // of the accepted configuration
	version uint64
	digest  string
	stops   []dynconfig.Stop

	mu       sync.Mutex
	replicas map[replog.NodeID]*replica
	gateways map[string]*gateway
	requests []request
}

func name(id replog.NodeID) string { return fmt.Sprint("r", id) }

// zoneOf spreads replicas 2/2/1 over the zones a, b and c, or 1/1/1.
func zoneOf(id replog.NodeID) string { return string("abcab"[(id-1)%5]) }

// run runs a test in simulated time on a group of the given size with three gateways and an accepted configuration.
func run(t *testing.T, size, gateways int, seed uint64, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &cluster{
			t: t, net: newNetwork(seed), ctx: ctx, infos: map[replog.NodeID]controlplane.Replica{},
			replicas: map[replog.NodeID]*replica{}, gateways: map[string]*gateway{},
		}
		for i := range size {
			id := replog.NodeID(i + 1)
			c.boot = append(c.boot, id)
			c.infos[id] = controlplane.Replica{Name: name(id), Zone: zoneOf(id)}
		}
		for _, id := range c.boot {
			c.start(id, vfstest.New())
		}
		c.op = c.client("operator")
		c.accept("base")
		for i := range gateways {
			c.startGateway(fmt.Sprint("g", i), string("abc"[i%3]), 1)
		}
		c.until(5*time.Second, "sessions", c.allHoldLeases)
		go c.watchInvariants()
		defer func() {
			c.net.heal()
			for _, g := range slices.Sorted(maps.Keys(c.gateways)) {
				c.stopGateway(g)
			}
			for _, id := range c.running() {
				c.kill(id)
			}
			cancel()
			time.Sleep(callLimit) // handlers of abandoned calls
		}()
		test(c)
	})
}

// forSizes runs a test on groups of three and five.
func forSizes(t *testing.T, gateways int, test func(c *cluster)) {
	t.Helper()
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			run(t, size, gateways, 1, test)
		})
	}
}

// start runs a replica on the given files. Only those of the first group bootstrap.
func (c *cluster) start(id replog.NodeID, fs *vfstest.FS) {
	c.t.Helper()
	r := &replica{fs: fs, machine: controlstate.New(controlstate.Options{})}
	var server *controlplane.Server
	ready := make(chan struct{})
	observed := &observedMachine{Machine: r.machine, published: func() {
		select {
		case <-ready:
			server.Published()
			c.checkSessions(r.machine.View())
		default:
		}
	}}
	cfg := controlnode.Config{
		ID: id, Dir: "data", FS: fs, Rand: rand.New(rand.NewPCG(7, uint64(id))).IntN, SnapshotEntries: 150, DesiredVoters: c.boot,
	}
	if slices.Contains(c.boot, id) {
		cfg.Bootstrap.Voters = c.boot
	}
	node, err := controlnode.Start(cfg, observed, link{c, id})
	if err != nil {
		c.t.Fatalf("start replica %d: %v", id, err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	server = controlplane.New(controlplane.Config{
		Node: node, Machine: r.machine, Replicas: maps.Clone(c.infos), SessionTTL: sessionTTL, Log: zap.NewNop(),
	})
	r.node, r.server, r.cancel = node, server, cancel
	close(ready)
	server.Published()
	go server.Run(ctx)
	c.mu.Lock()
	c.replicas[id] = r
	c.mu.Unlock()
	c.net.serve(name(id), func(ctx context.Context, data []byte) []byte {
		var request controlproto.Request
		receivedAt := time.Now()
		if err := controlproto.Decode(data, &request); err != nil {
			c.t.Error(err)
		}
		response, err := server.Handle(ctx, &request, receivedAt)
		if err != nil {
			c.t.Error(err)
		}
		encoded, _ := controlproto.Encode(response)
		return encoded
	})
}

// link sends the messages of one replica.
type link struct {
	c    *cluster
	from replog.NodeID
}

func (l link) Send(to replog.NodeID, m replog.Message) {
	l.c.net.send(name(l.from), name(to), func() {
		if r := l.c.replica(to); r != nil {
			r.node.Receive(m)
		}
	})
}

func (c *cluster) replica(id replog.NodeID) *replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.replicas[id]; r != nil && !r.down {
		return r
	}
	return nil
}

// kill ends a replica and loses what it had not synced. Nobody hears what it sends while it stops.
func (c *cluster) kill(id replog.NodeID) {
	r := c.replica(id)
	if r == nil {
		return
	}
	c.net.serve(name(id), nil)
	c.mu.Lock()
	r.down = true
	c.mu.Unlock()
	r.cancel()
	_ = r.node.Stop()
	r.fs.Crash(vfstest.Crash{})
}

func (c *cluster) restart(id replog.NodeID) { c.t.Helper(); c.start(id, c.replicas[id].fs) }

// running returns the ids of the replicas that run.
func (c *cluster) running() []replog.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []replog.NodeID
	for id, r := range c.replicas {
		if !r.down {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (c *cluster) names(ids ...replog.NodeID) []string {
	var names []string
	for _, id := range ids {
		names = append(names, name(id))
	}
	return names
}

// others returns the names of the running replicas except one.
func (c *cluster) others(id replog.NodeID) []string {
	return c.names(slices.DeleteFunc(c.running(), func(other replog.NodeID) bool { return other == id })...)
}

// until lets the simulated time pass until the condition holds.
func (c *cluster) until(limit time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, id := range c.running() {
				s := c.replica(id).node.Status()
				c.t.Logf("replica %d: %v of term %d, commit %d, membership %+v", id, s.Role, s.Term, s.Commit, s.Membership)
			}
			c.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// leader waits for the leader of the highest term.
func (c *cluster) leader() (leader replog.NodeID) {
	c.t.Helper()
	c.until(10*time.Second, "a leader", func() bool {
		leader = 0
		term := uint64(0)
		for _, id := range c.running() {
			if s := c.replica(id).node.Status(); s.Role == replog.RoleLeader && s.TermCommitted && s.Term > term {
				leader, term = id, s.Term
			}
		}
		return leader != 0
	})
	return leader
}
