// Package controlclient is the gateways' side of the control group: it finds the leader, submits commands, and keeps the
// session and the view of this process.
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
	// attemptTimeout bounds one call to one replica. It is longer than a commit over two zones and a slow fsync, and shorter
	// than a third of the session TTL, so that a renewal can try another replica in time.
	attemptTimeout = 900 * time.Millisecond
	// searchPause is the pause after every replica was asked and none was the leader.
	searchPause = 50 * time.Millisecond
)

// Caller makes one call to a named process.
type Caller interface {
	Call(ctx context.Context, to string, data []byte) ([]byte, error)
}

// Client talks to the control group. It is safe for concurrent use.
type Client struct {
	caller   Caller
	replicas []string
	leader   atomic.Pointer[string]
	silent   atomic.Pointer[string] // the last replica that did not answer, nil once it did
}

// New returns a client of the control replicas with the given names.
func New(caller Caller, replicas []string) *Client {
	return &Client{caller: caller, replicas: replicas}
}

// Submit commits a command and returns its result. It resends the command to the next leader after a lost response, which
// every command tolerates by its own id or epoch. It returns ChangeOutcomeUnknown as an error when ctx ends first and the
// command may have been appended, and ControlUnavailable when it certainly was not.
func (c *Client) Submit(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	maybeAppended := false
	var submitted controlproto.Submitted
	err := c.untilLeader(ctx, &controlproto.Request{Submit: &controlproto.Submit{Command: command}}, func(data []byte, callErr error) (string, bool) {
		if callErr != nil {
			maybeAppended = true
			return "", false
		}
		submitted = controlproto.Submitted{}
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

// Renew renews a session's lease with the leader.
func (c *Client) Renew(ctx context.Context, renew controlproto.Renew) (controlproto.Grant, error) {
	var grant controlproto.Grant
	err := c.untilLeader(ctx, &controlproto.Request{Renew: &renew}, func(data []byte, callErr error) (string, bool) {
		grant = controlproto.Grant{}
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
	err := c.untilLeader(ctx, &controlproto.Request{Status: &controlproto.Status{}}, func(data []byte, callErr error) (string, bool) {
		report = controlproto.Report{}
		if callErr != nil || controlproto.Decode(data, &report) != nil {
			return "", false
		}
		return report.Leader, report.Code == resultcode.OK
	})
	return report, err
}

// Watch asks one replica, leader or not, for a view newer than index.
func (c *Client) Watch(ctx context.Context, replica string, index uint64, wait time.Duration) (*controlstate.View, error) {
	data, err := controlproto.Encode(&controlproto.Request{Watch: &controlproto.Watch{ViewIndex: index, WaitMillis: wait.Milliseconds()}})
	if err != nil {
		return nil, err
	}
	response, err := c.caller.Call(ctx, replica, data)
	if err != nil {
		return nil, err
	}
	var views controlproto.Views
	if err := controlproto.Decode(response, &views); err != nil {
		return nil, err
	}
	return views.View, nil
}

// untilLeader calls replicas, the presumed leader first, until handle accepts a response or ctx ends. handle returns the
// leader's name where the response told it.
func (c *Client) untilLeader(ctx context.Context, request *controlproto.Request, handle func(data []byte, err error) (leader string, done bool)) error {
	data, err := controlproto.Encode(request)
	if err != nil {
		return err
	}
	for {
		for _, replica := range c.candidates() {
			if c.try(ctx, replica, data, handle) {
				return nil
			}
			if ctx.Err() != nil {
				return errors.Wrap(ctx.Err(), "find the leader")
			}
		}
		if err := sleep(ctx, searchPause); err != nil {
			return errors.Wrap(err, "find the leader")
		}
	}
}

// try calls one replica and follows at most one hint.
func (c *Client) try(ctx context.Context, replica string, data []byte, handle func([]byte, error) (string, bool)) bool {
	for range 2 {
		hint, done := c.call(ctx, replica, data, handle)
		if done {
			c.leader.Store(&replica)
			return true
		}
		if hint == "" || hint == replica || c.isSilent(hint) || ctx.Err() != nil {
			return false
		}
		replica = hint
	}
	return false
}

func (c *Client) call(ctx context.Context, replica string, data []byte, handle func([]byte, error) (string, bool)) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := c.caller.Call(ctx, replica, data)
	c.noteAnswer(replica, err)
	return handle(response, err)
}

// noteAnswer remembers the last replica that did not answer.
func (c *Client) noteAnswer(replica string, err error) {
	switch {
	case err != nil:
		c.silent.Store(&replica)
	case c.isSilent(replica):
		c.silent.Store(nil)
	}
}

func (c *Client) isSilent(replica string) bool {
	silent := c.silent.Load()
	return silent != nil && *silent == replica
}

// candidates returns the replicas in the order in which to call them: the presumed leader first, and a replica that did not
// answer last. Waiting for a leader that was cut off silently, in each call or on the others' outdated advice, would cost
// more than the session TTL.
func (c *Client) candidates() []string {
	ordered := slices.Clone(c.replicas)
	rank := func(name string) int {
		leader := c.leader.Load()
		switch {
		case c.isSilent(name):
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
