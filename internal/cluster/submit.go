package cluster

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/controlnode"
	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/resultcode"
	"github.com/bramleypick/bramleypick/routingstate"
)

// ErrControlUnavailable is returned if no control replica is reachable or none replied in time, if there is no control
// group yet, or if no majority of its voters stored a drain or a deregistration. Whether a submitted change took effect
// is unknown.
var ErrControlUnavailable = errors.New("the control group was not reached")

// ErrTooManyUpstreams is returned for the announcement of an unknown upstream if there is no room for another one.
var ErrTooManyUpstreams = errors.New("too many upstreams are known")

// Submit appends a change to the log and returns its result once it is committed. After an error, the change may or may
// not have taken effect.
func (c *Cluster) Submit(ctx context.Context, command routingstate.Command) (routingstate.Result, error) {
	switch {
	case command.Evacuate != nil:
		return c.submitEvacuation(ctx, *command.Evacuate)
	case command.StartRollout != nil:
		return c.submitRollout(ctx, *command.StartRollout)
	}
	return c.submit(ctx, command)
}

// submitEvacuation submits an order on top of the last accepted one about the zone. Copies of it that arrive after a later
// order are rejected. It starts again from the newer order only while the caller still waits: afterwards the caller may have
// sent the order elsewhere, and another one after it.
func (c *Cluster) submitEvacuation(ctx context.Context, e routingstate.Evacuation) (routingstate.Result, error) {
	receivedAt := time.Now()
	after := c.View().LastOrders[e.Zone]
	if c.pauses.recentlyPaused(receivedAt) {
		c.log.Info("order refused, it may have been sent before a pause of this process", zap.String("zone", e.Zone), zap.Bool("end", e.End))
		return routingstate.Result{}, errors.Wrap(ErrControlUnavailable, "this process was paused")
	}
	for {
		e.After = &after
		result, err := c.submit(ctx, routingstate.Command{Evacuate: &e})
		if err != nil || result.Code != resultcode.VersionConflict {
			return result, err
		}
		c.log.Info("another order about the zone was accepted first", zap.String("zone", e.Zone), zap.Bool("end", e.End),
			zap.Uint64("after", after), zap.Uint64("last_order", result.LastOrder), zap.Float64("ms", milliseconds(receivedAt)))
		if err := ctx.Err(); err != nil {
			return routingstate.Result{}, errors.Wrap(err, "the caller no longer waits")
		}
		if time.Since(receivedAt) > orderTimeout {
			return routingstate.Result{}, errors.Wrap(ErrControlUnavailable, "the caller may have sent the order again")
		}
		after = result.LastOrder
	}
}

func (c *Cluster) submit(ctx context.Context, command routingstate.Command) (routingstate.Result, error) {
	data, err := command.Encode()
	if err == nil {
		data, err = compress(data)
	}
	if err != nil {
		return routingstate.Result{}, err
	}
	reply, err := c.callLeader(ctx, methodSubmit, leaderRequest{Command: data})
	if err != nil {
		return routingstate.Result{}, err
	}
	return routingstate.DecodeResult(reply)
}

// callLeader serves a request on this process's replica. Without one, it calls the replicas one after the other until
// one replies.
func (c *Cluster) callLeader(ctx context.Context, m nodelink.Method, request leaderRequest) ([]byte, error) {
	if r := c.runningReplica(); r != nil {
		return c.serveLeaderRequest(ctx, r, m, request)
	}
	body, err := encode(request)
	if err != nil {
		return nil, err
	}
	err = ErrControlUnavailable
	for _, l := range c.links() {
		startedAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
		reply, callErr := l.Call(callCtx, m, body)
		cancel()
		if callErr == nil {
			return reply, nil
		}
		c.log.Warn("call to a replica failed", zap.String("replica", l.Remote), zap.Uint8("method", uint8(m)),
			zap.Float64("ms", milliseconds(startedAt)), zap.Error(callErr))
		err = errors.Wrap(ErrControlUnavailable, callErr.Error())
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

const (
	// replicaCallTimeout bounds the call of one replica. Clients turn to another process after a second, in which two
	// replicas can be called.
	replicaCallTimeout = 450 * time.Millisecond
	// serveTimeout bounds the work of a replica on one request: a proposal, a read, a call that it forwards to the
	// leader, or storing an announcement on the other voters.
	serveTimeout = 850 * time.Millisecond
	// orderTimeout bounds the time for which an operator is assumed to wait for the response to an order. Operators turn to
	// another process after a second.
	orderTimeout = 900 * time.Millisecond
)

// serveLeaderRequest serves a request of this process or of a linked one on this process's replica.
func (c *Cluster) serveLeaderRequest(ctx context.Context, r *replica, m nodelink.Method, request leaderRequest) ([]byte, error) {
	switch m {
	case methodRead:
		return c.readOnReplica(ctx, r, request)
	case methodViewIndex:
		return c.viewIndexOnReplica(ctx, r, request)
	}
	return c.submitOnReplica(ctx, r, request)
}

func (c *Cluster) submitOnReplica(ctx context.Context, r *replica, request leaderRequest) ([]byte, error) {
	if reply, done, err := c.forwardToLeader(ctx, r, methodSubmit, request); done {
		return reply, err
	}
	command, err := decompress(request.Command)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	return r.node.Propose(ctx, command)
}

// milliseconds returns the time since startedAt for a log line.
func milliseconds(startedAt time.Time) float64 {
	return float64(time.Since(startedAt).Microseconds()) / 1000
}

// forwardToLeader forwards the request to the leader if that is another replica. It returns done as false if this
// replica is the leader.
func (c *Cluster) forwardToLeader(ctx context.Context, r *replica, m nodelink.Method, request leaderRequest) (reply []byte, done bool, err error) {
	st := r.node.Status()
	if st.Role == replog.RoleLeader {
		return nil, false, nil
	}
	n, known := c.nodes.NodeByReplicaID(uint64(st.Leader))
	c.mu.Lock()
	l := c.dialed[n.PeerAddress]
	c.mu.Unlock()
	if request.Forwarded || st.Leader == 0 || !known || l == nil {
		return nil, true, controlnode.ErrNotLeader
	}
	request.Forwarded = true
	body, err := encode(request)
	if err != nil {
		return nil, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	reply, err = l.Call(ctx, m, body)
	return reply, true, err
}

// Announce merges the announcement of an upstream. For a drain or a deregistration, it returns nil only after a
// majority of the voters has the announcement on disk, so that every process that reaches all replicas receives it, and
// it survives a restart of all of them.
func (c *Cluster) Announce(ctx context.Context, e registry.Entry) error {
	if err := e.Validate(); err != nil {
		return err
	}
	e = c.completeDeregistration(e)
	if !c.registry.HasRoom(e.ID) {
		return ErrTooManyUpstreams
	}
	if r := c.runningReplica(); r != nil {
		return c.storeAnnouncement(ctx, r, e)
	}
	body, err := encode(e)
	if err != nil {
		return err
	}
	err = ErrControlUnavailable
	for _, l := range c.links() {
		callCtx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
		_, callErr := l.Call(callCtx, methodAnnounce, body)
		cancel()
		if callErr == nil {
			c.merge(e)
			return nil
		}
		err = errors.Wrap(ErrControlUnavailable, callErr.Error())
		if ctx.Err() != nil {
			break
		}
	}
	return err
}

// completeDeregistration fills in the known entry for a deregistration, which contains only the upstream's id and possibly the
// incarnation. A deregistration of another incarnation is returned unchanged.
func (c *Cluster) completeDeregistration(e registry.Entry) registry.Entry {
	if e.State != registry.Gone || e.Address != "" {
		return e
	}
	if known, ok := c.registry.Get(e.ID); ok && (e.Incarnation == 0 || e.Incarnation == known.Incarnation) {
		known.State = registry.Gone
		return known
	}
	return e
}

// storeAnnouncement merges an announcement. For a drain or a deregistration, it returns only after a majority of the
// voters has the announcement on disk.
func (c *Cluster) storeAnnouncement(ctx context.Context, r *replica, e registry.Entry) error {
	e = c.completeDeregistration(e)
	c.merge(e)
	if e.State == registry.Ready {
		return nil
	}
	voters := r.node.Status().Membership.Voters
	if len(voters) == 0 {
		return errors.Wrap(ErrControlUnavailable, "no control group yet")
	}
	return c.storeOnVoters(ctx, r, e, voters)
}

// storeOnVoters sends an announcement, which this process has merged, to the other voters. It returns nil once a majority
// has it on disk.
func (c *Cluster) storeOnVoters(ctx context.Context, r *replica, e registry.Entry, voters []replog.NodeID) error {
	body, err := encode(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	results := make(chan error, len(voters))
	need, outstanding := len(voters)/2+1, 0
	for _, id := range voters {
		if id == r.id {
			outstanding++
			go func() { results <- c.awaitSaved(ctx) }()
			continue
		}
		n, known := c.nodes.NodeByReplicaID(uint64(id))
		c.mu.Lock()
		l := c.dialed[n.PeerAddress]
		c.mu.Unlock()
		if !known || l == nil {
			continue
		}
		outstanding++
		go func() {
			_, err := l.Call(ctx, methodStore, body)
			results <- err
		}()
	}
	var lastErr error
	for ; need > 0 && outstanding > 0; outstanding-- {
		if err := <-results; err == nil {
			need--
		} else {
			lastErr = err
		}
	}
	if need > 0 {
		c.log.Warn("no majority stored the announcement", zap.String("upstream", e.ID), zap.Stringer("state", e.State),
			zap.Int("missing", need), zap.NamedError("last_error", lastErr))
		return errors.Wrap(ErrControlUnavailable, "no majority has the announcement on disk")
	}
	return nil
}
