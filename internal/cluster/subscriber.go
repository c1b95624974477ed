package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/roster"
)

// publishInterval is the minimum time between two updates to the subscribers. Changes in between are sent in one
// update.
const publishInterval = 20 * time.Millisecond

// compressionThreshold is the length in bytes from which an update is compressed. 190 upstreams and 108 processes take
// 23 KB, and a starting process receives them from each of six replicas. On a link of 6 Mbit/s that takes 0.2 s, in
// which it serves no requests.
const compressionThreshold = 2 << 10

// subscriber is a process that dialed this one.
type subscriber struct {
	node roster.Node // zero until it has identified itself
	// full is set if the next update is a full one: with all reports and entries, and the index of the view.
	full bool
	// failures are those since failuresSentAt, the time of the last failure report.
	failures       failures
	failuresSentAt time.Time
}

// pendingChanges are the changes since the last update. They are the same for all subscribers, so that an update is
// encoded once for all of them: after a loss of power all processes connect at once, and each one is a change. Only the
// newest change of each process and upstream is stored.
type pendingChanges struct {
	reports     map[string]roster.Report
	entries     map[string]registry.Entry
	viewChanged bool
}

func newPendingChanges() pendingChanges {
	return pendingChanges{reports: make(map[string]roster.Report), entries: make(map[string]registry.Entry)}
}

func (p *pendingChanges) isEmpty() bool {
	return len(p.reports) == 0 && len(p.entries) == 0 && !p.viewChanged
}

// update returns the update with the changes.
func (p *pendingChanges) update(viewIndex uint64, due limits) update {
	u := update{ViewIndex: viewIndex, Limits: due}
	for _, r := range p.reports {
		u.Reports = append(u.Reports, r)
	}
	for _, e := range p.entries {
		u.Entries = append(u.Entries, e)
	}
	return u
}

// subscribe adds a subscriber and queues a full update for it.
func (c *Cluster) subscribe(l *nodelink.Link) {
	s := &subscriber{failures: make(failures), full: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers[l] = s
	signal(c.publishSignal)
}

// fullUpdate returns an update with all known processes, upstreams and crash records. The caller holds mu.
func (c *Cluster) fullUpdate(viewIndex uint64) update {
	u := update{Entries: c.registry.All(time.Now()), ViewIndex: viewIndex, CrashRecords: c.cfg.CrashRecords()}
	for _, n := range c.nodes.All() {
		u.Reports = append(u.Reports, roster.Report{Node: n, Alive: c.isConnected(n)})
	}
	return u
}

// isConnected reports whether the node has an open link to this process or is this process. The caller holds mu.
func (c *Cluster) isConnected(n roster.Node) bool {
	if n.IP == c.self.IP {
		return true
	}
	for _, s := range c.subscribers {
		if s.node.IP == n.IP && s.node.Incarnation == n.Incarnation {
			return true
		}
	}
	return false
}

// identify records the node description that a subscriber sent.
func (c *Cluster) identify(l *nodelink.Link, n roster.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.subscribers[l]
	if s == nil {
		return // the link was closed
	}
	s.node = n
	c.report(roster.Report{Node: n, Alive: true})
}

func (c *Cluster) unsubscribe(l *nodelink.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.subscribers[l]
	delete(c.subscribers, l)
	if s == nil || s.node.IP == "" || c.isConnected(s.node) {
		return
	}
	c.log.Info("process disconnected", zap.String("lost_vm", s.node.Name))
	c.report(roster.Report{Node: s.node, Alive: false})
}

// report records a process that connected to or disconnected from this one, and queues the report for all subscribers.
// The caller holds mu since it observed the change, so that reports about a process that reconnects keep their order.
func (c *Cluster) report(r roster.Report) {
	if !c.nodes.Report(c.cfg.Self.PeerAddress, r, time.Now()) {
		return
	}
	c.pending.reports[r.Node.IP] = r
	signal(c.publishSignal)
	c.notify()
}

func (c *Cluster) markViewChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending.viewChanged = true
	signal(c.publishSignal)
}

// publish sends queued changes to the subscribers until ctx ends.
func (c *Cluster) publish(ctx context.Context) {
	var reportsDue <-chan time.Time
	for {
		select {
		case <-c.publishSignal:
		case <-reportsDue:
		case <-ctx.Done():
			return
		}
		for l, u := range c.takeUpdates() {
			if err := u.send(l); err != nil {
				c.log.Error("failed to encode an update", zap.Error(err))
			}
		}
		reportsDue = nil
		if c.hasPendingFailures() || c.hasPendingLimits() || c.hasPendingOverload() {
			reportsDue = time.After(min(failuresInterval, limitsInterval))
		}
		select {
		case <-time.After(publishInterval):
		case <-ctx.Done():
			return
		}
	}
}

// outgoingUpdate is an update for one or more subscribers. It is encoded only once: after a power loss a replica sends
// a full update to all processes, and encoding and compressing one for 190 upstreams and 108 processes takes 2 ms.
type outgoingUpdate struct {
	update
	method nodelink.Method
	body   []byte
}

func (o *outgoingUpdate) send(l *nodelink.Link) error {
	if o.body == nil {
		if err := o.encode(); err != nil {
			return err
		}
	}
	l.Send(o.method, o.body)
	return nil
}

func (o *outgoingUpdate) encode() error {
	body, err := encode(o.update)
	if err != nil {
		return err
	}
	o.method = methodUpdate
	if len(body) >= compressionThreshold {
		o.method = methodCompressedUpdate
		if body, err = compress(body); err != nil {
			return err
		}
	}
	o.body = body
	return nil
}

// takeUpdates returns the updates that are due, by link, and clears the changes that they include. A process without a
// replica only tells its subscribers which replicas to dial.
func (c *Cluster) takeUpdates() map[*nodelink.Link]*outgoingUpdate {
	isReplica, index := c.distributes(), c.View().Index
	if c.runningReplica() == nil {
		index = 0 // nobody can fetch the view here
	}
	var replicas []roster.Node
	if !isReplica {
		for _, n := range c.nodes.Alive() {
			if n.ReplicaID != 0 {
				replicas = append(replicas, n)
			}
		}
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	updates := make(map[*nodelink.Link]*outgoingUpdate)
	var full, changes *outgoingUpdate // each is shared by all subscribers that need it
	due, overload := c.takeLimits(now), c.takeOverload(now)
	if !c.pending.isEmpty() || len(due) > 0 || len(overload) > 0 {
		changes = &outgoingUpdate{update: c.pending.update(index, due)}
		changes.Overload = overload
	}
	for l, s := range c.subscribers {
		switch {
		case !isReplica:
			if s.full || changes != nil {
				updates[l] = &outgoingUpdate{update: update{Replicas: replicas}}
			}
		case s.full:
			if full == nil {
				full = &outgoingUpdate{update: c.fullUpdate(index)}
				full.Limits, full.Overload = due, overload
			}
			// It is shared and so carries no failures. Those of the subscriber stay pending for its next update.
			updates[l] = full
		default:
			if failed := s.takeFailures(now); len(failed) > 0 {
				u := c.pending.update(index, due)
				u.Failures, u.Overload = failed, overload
				updates[l] = &outgoingUpdate{update: u}
			} else if changes != nil {
				updates[l] = changes
			}
		}
		s.full = false
	}
	c.pending = newPendingChanges()
	return updates
}
