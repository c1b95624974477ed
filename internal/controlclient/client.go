// Package controlclient implements the gateway side of the control protocol. It finds the leader, submits commands, and
// maintains this process's session and view.
package controlclient

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// callTimeout bounds one call to one replica. It is longer than a commit across two availability zones with a slow
	// fsync, and shorter than a third of the session TTL, so that a renewal can try another replica in time.
	callTimeout = 900 * time.Millisecond
	// leaderSearchPause is the pause after a round of calls in which no replica was the leader.
	leaderSearchPause = 50 * time.Millisecond
)

// Transport makes calls to other processes by name.
type Transport interface {
	Call(ctx context.Context, to string, data []byte) ([]byte, error)
}

// Client calls the control group. It is safe for concurrent use.
type Client struct {
	transport    Transport
	replicas     []string
	leader       atomic.Pointer[string]
	unresponsive atomic.Pointer[string] // the last replica that did not respond; nil once it responds
}

// New returns a client of the control replicas with the given names.
func New(transport Transport, replicas []string) *Client {
	return &Client{transport: transport, replicas: replicas}
}

// Submit commits a command and returns its result. After a lost response it resends the command; each command has an id or
// an epoch that makes it idempotent. If ctx ends first, the error has the code ChangeOutcomeUnknown if the command may have
// been appended to the log, and ControlUnavailable if it was not appended.
func (c *Client) Submit(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	maybeAppended := false
	var submitted controlproto.SubmitResponse
	err := c.callLeader(ctx, &controlproto.Request{Submit: &controlproto.SubmitRequest{Command: command}}, func(data []byte, callErr error) (string, bool) {
		if callErr != nil {
			maybeAppended = true
			return "", false
		}
		submitted = controlproto.SubmitResponse{}
		if controlproto.Decode(data, &submitted) != nil {
			maybeAppended = true
			return "", false
		}
		maybeAppended = maybeAppended || submitted.Code == resultcode.ChangeOutcomeUnknown
		return submitted.Leader, submitted.Code == resultcode.OK
	})
	switch {
	case err == nil:
		return submitted.Result, nil
	case maybeAppended:
		return controlstate.Result{}, resultcode.Errorf(resultcode.ChangeOutcomeUnknown, "no response from the control group")
	default:
		return controlstate.Result{}, resultcode.Errorf(resultcode.ControlUnavailable, "no leader of the control group found")
	}
}

// Renew sends a lease renewal to the leader.
func (c *Client) Renew(ctx context.Context, renew controlproto.RenewRequest) (controlproto.RenewResponse, error) {
	var grant controlproto.RenewResponse
	err := c.callLeader(ctx, &controlproto.Request{Renew: &renew}, func(data []byte, callErr error) (string, bool) {
		grant = controlproto.RenewResponse{}
		if callErr != nil || controlproto.Decode(data, &grant) != nil {
			return "", false
		}
		return grant.Leader, grant.Code != resultcode.NotLeader && grant.Code != resultcode.NoQuorum
	})
	return grant, err
}

// Status returns the leader's report.
func (c *Client) Status(ctx context.Context) (controlproto.Report, error) {
	var report controlproto.Report
	err := c.callLeader(ctx, &controlproto.Request{Status: &controlproto.StatusRequest{}}, func(data []byte, callErr error) (string, bool) {
		report = controlproto.Report{}
		if callErr != nil || controlproto.Decode(data, &report) != nil {
			return "", false
		}
		return report.Leader, report.Code == resultcode.OK
	})
	return report, err
}

// Watch requests a view newer than index from one replica, which need not be the leader. It returns nil if the replica gets
// none within wait.
func (c *Client) Watch(ctx context.Context, replica string, index uint64, wait time.Duration) (*controlstate.View, error) {
	data, err := controlproto.Encode(&controlproto.Request{Watch: &controlproto.WatchRequest{ViewIndex: index, WaitMillis: wait.Milliseconds()}})
	if err != nil {
		return nil, err
	}
	response, err := c.transport.Call(ctx, replica, data)
	if err != nil {
		return nil, err
	}
	var views controlproto.WatchResponse
	if err := controlproto.Decode(response, &views); err != nil {
		return nil, err
	}
	return views.View, nil
}

// callLeader calls replicas, the presumed leader first, until handle accepts a response or ctx ends. handle returns the
// leader's name if the response contains it.
func (c *Client) callLeader(ctx context.Context, request *controlproto.Request, handle func(data []byte, err error) (leader string, done bool)) error {
	data, err := controlproto.Encode(request)
	if err != nil {
		return err
	}
	for {
		for _, replica := range c.callOrder() {
			if c.callFollowingHint(ctx, replica, data, handle) {
				return nil
			}
			if ctx.Err() != nil {
				return errors.Wrap(ctx.Err(), "find the leader")
			}
		}
		if err := sleep(ctx, leaderSearchPause); err != nil {
			return errors.Wrap(err, "find the leader")
		}
	}
}

// callFollowingHint calls one replica, and then the leader that its response names, if any. It reports whether handle
// accepted a response.
func (c *Client) callFollowingHint(ctx context.Context, replica string, data []byte, handle func([]byte, error) (string, bool)) bool {
	for range 2 {
		hint, done := c.call(ctx, replica, data, handle)
		if done {
			c.leader.Store(&replica)
			return true
		}
		if hint == "" || hint == replica || c.isUnresponsive(hint) || ctx.Err() != nil {
			return false
		}
		replica = hint
	}
	return false
}

func (c *Client) call(ctx context.Context, replica string, data []byte, handle func([]byte, error) (string, bool)) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.transport.Call(ctx, replica, data)
	c.recordResponse(replica, err)
	return handle(response, err)
}

// recordResponse updates c.unresponsive after a call to replica that returned err.
func (c *Client) recordResponse(replica string, err error) {
	switch {
	case err != nil:
		c.unresponsive.Store(&replica)
	case c.isUnresponsive(replica):
		c.unresponsive.Store(nil)
	}
}

func (c *Client) isUnresponsive(replica string) bool {
	name := c.unresponsive.Load()
	return name != nil && *name == replica
}

// callOrder returns the replicas in the order in which to call them: the presumed leader first, and a replica that did not
// respond last. A partitioned leader does not respond, and the other replicas' outdated hints may still point to it. Waiting
// for it in each call would take longer than the session TTL.
func (c *Client) callOrder() []string {
	ordered := slices.Clone(c.replicas)
	rank := func(name string) int {
		leader := c.leader.Load()
		switch {
		case c.isUnresponsive(name):
			return 2
		case leader != nil && *leader == name:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(ordered, func(a, b string) int { return rank(a) - rank(b) })
	return ordered
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
