package cluster

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/crashguard"
	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/internal/socketbuffer"
	"github.com/bramleypick/bramleypick/overload"
	"github.com/bramleypick/bramleypick/quota"
	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/roster"
	"github.com/bramleypick/bramleypick/routingstate"
	"github.com/bramleypick/bramleypick/vfs"
)

const (
	// maintenanceInterval is the period of the background tasks: dialing new replicas, expiring entries and adjusting
	// the membership of the control group.
	maintenanceInterval = 200 * time.Millisecond
	// fetchTimeout bounds the fetch of a view or a status from one process. A large view takes 100 ms on a link of 6
	// Mbit/s.
	fetchTimeout = time.Second
	// linkReceiveBuffer is the size in bytes of the receive buffer of a link that another process opened. It does not grow for a process
	// that sends faster than its frames are handled.
	linkReceiveBuffer = 32 << 10
)

// Cluster holds the state of the deployment as seen by this process, and its links to other processes. It is safe for
// concurrent use.
type Cluster struct {
	cfg      Config
	log      *zap.Logger
	nodes    *roster.Roster
	registry *registry.Registry
	view     atomic.Pointer[routingstate.View]
	changed  chan struct{}
	// publishSignal wakes publish when there may be updates for subscribers.
	publishSignal chan struct{}
	viewFetches   chan *nodelink.Link
	saveRequests  chan chan<- error // see awaitSaved
	pauses        pauseDetector
	tokens        tokens
	rollouts      rolloutReports

	mu                sync.Mutex
	self              roster.Node
	dialed            map[string]*nodelink.Link     // open links to replicas and seeds, by peer address
	advertisedIndexes map[*nodelink.Link]uint64     // index of the newest view advertised on each open link
	dialers           map[string]context.CancelFunc // stops the reconnect loop, by peer address
	subscribers       map[*nodelink.Link]*subscriber
	pending           pendingChanges // not yet sent to the subscribers
	pendingLimits     limits         // not yet sent to the subscribers
	limitsSentAt      time.Time
	overload          overloadRelay
	replica           *replica
	diskFull          bool // the replica waits until its disk is no longer full; see distributes
	bootstrapped      bool // the control group is known to exist
	// otherZoneTraffic is that of closed links to processes in other zones.
	otherZoneTraffic nodelink.Traffic
}

// New returns a Cluster; Run starts it.
func New(cfg Config) *Cluster {
	if cfg.FS == nil {
		cfg.FS = vfs.OS{}
	}
	if cfg.OnFailures == nil {
		cfg.OnFailures = func(map[string]int) {}
	}
	if cfg.OnLimits == nil {
		cfg.OnLimits = func(map[string]float64) {}
	}
	if cfg.OnOverload == nil {
		cfg.OnOverload = func(map[string]overload.Report) {}
	}
	if cfg.CrashRecords == nil {
		cfg.CrashRecords = func() map[string]crashguard.Record { return nil }
	}
	if cfg.OnCrashRecords == nil {
		cfg.OnCrashRecords = func(map[string]crashguard.Record) {}
	}
	if cfg.OnGrant == nil {
		cfg.OnGrant = func(quota.Grant) {}
	}
	c := &Cluster{
		cfg: cfg, log: cfg.Log, nodes: roster.New(), registry: registry.NewWithin(cfg.MaxUpstreams), self: cfg.Self,
		changed: make(chan struct{}, 1), publishSignal: make(chan struct{}, 1), viewFetches: make(chan *nodelink.Link, 16),
		saveRequests: make(chan chan<- error, maxSaveRequests),
		dialed:       make(map[string]*nodelink.Link), advertisedIndexes: make(map[*nodelink.Link]uint64),
		dialers: make(map[string]context.CancelFunc), subscribers: make(map[*nodelink.Link]*subscriber), pending: newPendingChanges(),
		pendingLimits: make(limits), overload: overloadRelay{pending: make(overloadReports)},
	}
	c.self.State, c.self.Seq = roster.Starting, 1
	c.view.Store(&routingstate.View{})
	return c
}

// Run serves until ctx ends. It returns an error if the peer address cannot be served or the replica's disk fails.
func (c *Cluster) Run(ctx context.Context) error {
	listen := net.ListenConfig{Control: socketbuffer.Limit(linkReceiveBuffer)}
	listener, err := listen.Listen(ctx, "tcp", c.cfg.Self.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen on the peer address")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel(nil)
	tasks.Go(func() {
		if err := nodelink.Serve(ctx, listener, (*handler)(c), c.cfg.LinkLimits); err != nil {
			cancel(err)
		}
	})
	tasks.Go(func() { c.fetchViews(ctx) })
	tasks.Go(func() { c.publish(ctx) })
	if c.cfg.DataDir != "" {
		tasks.Go(func() {
			if err := c.runReplica(ctx); err != nil {
				cancel(err)
			}
		})
		tasks.Go(func() { c.persistRegistry(ctx, c.cfg.FS) })
		tasks.Go(func() { c.runRollouts(ctx) })
	}
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		c.dialReplicas(ctx)
		now := time.Now()
		c.pauses.tick(now)
		if lost := c.nodes.Expire(now); len(lost) > 0 {
			for _, n := range lost {
				c.log.Info("process lost, no replica has confirmed it", zap.String("lost_vm", n.Name))
			}
			c.notify()
		}
		c.registry.Expire(now, c.cfg.UpstreamExpiry)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if cause := context.Cause(ctx); cause != context.Canceled {
				return cause
			}
			return nil
		}
	}
}

// Changed returns a channel that signals possible changes of View, Upstreams or Nodes. Several changes may be coalesced
// into one signal.
func (c *Cluster) Changed() <-chan struct{} { return c.changed }

func (c *Cluster) notify() { signal(c.changed) }

// signal sends to a channel of capacity 1 without blocking; signals that are not yet received are coalesced.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Revision returns the current revision.
func (c *Cluster) Revision() Revision {
	return Revision{View: c.View().Index, Upstreams: c.registry.Revision(), Nodes: c.nodes.Revision(), Connected: c.Connected()}
}

// View returns the newest known configuration and evacuations. Its index never decreases.
func (c *Cluster) View() *routingstate.View { return c.view.Load() }

// Upstreams returns the announced upstreams, including those that are draining or gone.
func (c *Cluster) Upstreams() []registry.Entry { return c.registry.All(time.Now()) }

// Nodes returns the live processes, including this one, sorted by IP.
func (c *Cluster) Nodes() []roster.Node { return c.nodes.Alive() }

// Self returns the node description that this process publishes.
func (c *Cluster) Self() roster.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// Connected reports whether a link to a control replica or a seed is open, or this process runs a replica that has a
// leader.
func (c *Cluster) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica != nil && c.replica.node.Status().Leader != 0 {
		return true
	}
	return len(c.dialed) > 0
}

// Links returns the number of open links to control replicas and seeds.
func (c *Cluster) Links() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.dialed)
}

// IsLeader reports whether this process runs the leader of the control group.
func (c *Cluster) IsLeader() bool {
	r := c.runningReplica()
	return r != nil && r.node.Status().Role == replog.RoleLeader
}

// SetState sets and publishes the state of this process, such as serving or leaving.
func (c *Cluster) SetState(s roster.State) {
	c.updateSelf(func(n *roster.Node) { n.State = s })
}

func (c *Cluster) updateSelf(change func(*roster.Node)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.self
	change(&c.self)
	if c.self == before {
		return
	}
	c.self.Seq++
	self := c.self
	for _, link := range c.dialed {
		c.sendSelf(link, self)
	}
	c.report(roster.Report{Node: self, Alive: true})
}

func (c *Cluster) sendSelf(link *nodelink.Link, self roster.Node) {
	body, err := encode(self)
	if err != nil {
		c.log.Error("failed to encode the node", zap.Error(err))
		return
	}
	link.Send(methodNode, body)
}
