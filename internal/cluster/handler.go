package cluster

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/quota"
	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/roster"
)

// errNoReplica is the reply to calls that only a process with a control replica can serve.
var errNoReplica = errors.New("this process has no control replica")

// handler implements nodelink.Handler for a Cluster.
type handler Cluster

// Opened implements nodelink.Handler.
func (h *handler) Opened(l *nodelink.Link) {
	c := (*Cluster)(h)
	if !l.Dialed {
		c.subscribe(l)
		return
	}
	c.mu.Lock()
	c.dialed[l.Remote] = l
	self := c.self
	c.mu.Unlock()
	c.sendSelf(l, self)
	if c.View().Index == 0 {
		c.queueViewFetch(l) // does not wait for the first update, which takes longer to transfer
	}
	c.notify() // Connected may have changed
	c.log.Info("replica connected", zap.String("replica", l.Remote))
}

// Closed implements nodelink.Handler.
func (h *handler) Closed(l *nodelink.Link, cause error) {
	c := (*Cluster)(h)
	c.retainTraffic(l)
	if !l.Dialed {
		c.unsubscribe(l)
		return
	}
	c.mu.Lock()
	if c.dialed[l.Remote] == l {
		delete(c.dialed, l.Remote)
	}
	delete(c.advertisedIndexes, l)
	c.mu.Unlock()
	c.nodes.DropReports(l.Remote, time.Now())
	c.notify()
	c.log.Warn("replica lost", zap.String("replica", l.Remote), zap.NamedError("cause", cause))
}

// Receive implements nodelink.Handler.
func (h *handler) Receive(l *nodelink.Link, m nodelink.Method, body []byte) {
	c := (*Cluster)(h)
	var err error
	switch m {
	case methodNode:
		var n roster.Node
		if err = decode(body, &n); err == nil {
			c.identify(l, n)
		}
	case methodCompressedUpdate:
		var plain []byte
		if plain, err = decompress(body); err == nil {
			h.Receive(l, methodUpdate, plain)
		}
	case methodUpdate:
		var u update
		if err = decode(body, &u); err == nil {
			c.applyUpdate(l, u)
		}
	case methodFailures:
		var f failures
		if err = decode(body, &f); err == nil {
			c.relayFailures(l, f)
		}
	case methodLimits:
		var reported limits
		if err = decode(body, &reported); err == nil {
			c.relayLimits(l, reported)
		}
	case methodTokens:
		var r quota.Request
		if err = decode(body, &r); err == nil {
			c.serveTokens(l, r)
		}
	case methodGrant:
		var reply tokenReply
		if err = decode(body, &reply); err == nil {
			c.receiveGrant(l, reply)
		}
	case methodRollout, methodRollouts:
		err = c.receiveRollouts(m, body)
	case methodOverload:
		var reports overloadReports
		if err = decode(body, &reports); err == nil {
			c.relayOverload(reports)
		}
	case methodReplog:
		var message replog.Message
		if err = decode(body, &message); err == nil {
			if r := c.runningReplica(); r != nil {
				r.node.Receive(message)
			}
		}
	}
	if err != nil {
		c.log.Error("failed to decode a message", zap.String("from", l.Remote), zap.Uint8("method", uint8(m)), zap.Error(err))
	}
}

// applyUpdate merges an update that a dialed process sent.
func (c *Cluster) applyUpdate(l *nodelink.Link, u update) {
	now := time.Now()
	before := c.nodes.Revision()
	if len(u.Reports) > 0 { // only replicas send reports
		c.nodes.AddReporter(l.Remote, now)
	}
	for _, report := range u.Reports {
		c.raiseIncarnation(report.Node)
		if c.nodes.Report(l.Remote, report, now) && !c.nodes.IsAlive(report.Node.IP) {
			c.log.Info("process lost", zap.String("lost_vm", report.Node.Name), zap.String("reported_by", l.Remote))
		}
	}
	c.merge(u.Entries...)
	if len(u.Failures) > 0 {
		c.cfg.OnFailures(u.Failures)
	}
	if len(u.Limits) > 0 {
		c.cfg.OnLimits(u.Limits)
	}
	if len(u.Overload) > 0 {
		c.receiveOverload(u.Overload)
	}
	if len(u.CrashRecords) > 0 {
		c.cfg.OnCrashRecords(u.CrashRecords)
	}
	for _, n := range u.Replicas {
		// Sent by a process without a replica. The nodes are recorded as alive so that dialReplicas dials them.
		c.nodes.Report(l.Remote, roster.Report{Node: n, Alive: true}, now)
	}
	if u.ViewIndex > c.View().Index {
		c.mu.Lock()
		c.advertisedIndexes[l] = u.ViewIndex
		c.mu.Unlock()
		c.queueViewFetch(l)
	}
	if c.nodes.Revision() != before {
		c.notify()
	}
}

// raiseIncarnation raises the incarnation of this process above that of a previous process on the same VM. Incarnations
// are taken from the wall clock, which may have been set back between the two starts.
func (c *Cluster) raiseIncarnation(n roster.Node) {
	if n.IP != c.cfg.Self.IP {
		return
	}
	c.updateSelf(func(self *roster.Node) {
		if n.Incarnation > self.Incarnation {
			self.Incarnation = n.Incarnation + 1
		}
	})
}

func (c *Cluster) queueViewFetch(l *nodelink.Link) {
	select {
	case c.viewFetches <- l:
	default: // the queue is full; the queued fetches return the newest views of their replicas
	}
}

// maxLoggedEntries is the number of changed upstreams up to which each one is logged. A starting process learns of all
// upstreams at once, and other processes have logged their changes.
const maxLoggedEntries = 32

// merge merges announcements into the registry and queues the changed entries for all subscribers. Entries that are not valid
// are left out. It holds mu during
// both, so that the newer of two concurrent announcements is queued last.
func (c *Cluster) merge(entries ...registry.Entry) {
	now := time.Now()
	var changed []registry.Entry
	invalid := 0
	var lastErr error
	c.mu.Lock()
	for _, e := range entries {
		if err := e.Validate(); err != nil {
			invalid, lastErr = invalid+1, err
			continue
		}
		for _, entry := range c.registry.Merge(e, now) {
			c.pending.entries[entry.ID] = entry
			changed = append(changed, entry)
		}
	}
	if len(changed) > 0 {
		signal(c.publishSignal)
	}
	c.mu.Unlock()
	if invalid > 0 {
		c.log.Warn("announcements are not valid", zap.Int("upstreams", invalid), zap.NamedError("last_error", lastErr))
	}
	if len(changed) == 0 {
		return
	}
	c.notify()
	if len(changed) > maxLoggedEntries {
		c.log.Info("upstreams changed", zap.Int("upstreams", len(changed)))
		return
	}
	for _, entry := range changed {
		c.log.Info("upstream", zap.String("upstream", entry.ID), zap.String("service", entry.Service),
			zap.String("address", entry.Address), zap.String("zone", entry.Zone), zap.Stringer("state", entry.State),
			zap.Int64("born", entry.Incarnation), zap.Uint64("seq", entry.Seq))
	}
}

// Serve implements nodelink.Handler.
func (h *handler) Serve(ctx context.Context, l *nodelink.Link, m nodelink.Method, body []byte) ([]byte, error) {
	c := (*Cluster)(h)
	if m == methodStatus {
		c.mu.Lock()
		s := status{HasDisk: c.cfg.DataDir != "", Bootstrapped: c.bootstrapped}
		c.mu.Unlock()
		return encode(s)
	}
	r := c.runningReplica()
	if r == nil {
		return nil, errNoReplica
	}
	switch m {
	case methodAnnounce, methodStore:
		var e registry.Entry
		if err := decode(body, &e); err != nil {
			return nil, err
		}
		if m == methodStore {
			c.merge(e)
			return nil, c.awaitSaved(ctx)
		}
		return nil, c.storeAnnouncement(ctx, r, e)
	case methodSubmit, methodRead, methodViewIndex:
		var request leaderRequest
		if err := decode(body, &request); err != nil {
			return nil, err
		}
		return c.serveLeaderRequest(ctx, r, m, request)
	case methodView:
		var request viewRequest
		if err := decode(body, &request); err != nil {
			return nil, err
		}
		return r.history.encodedReply(request, r.machine.View())
	}
	return nil, errors.Errorf("unknown method %d", m)
}
