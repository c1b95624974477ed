package pipeline

import (
	"time"

	"github.com/bramleypick/bramleypick/internal/clientbudget"
)

const (
	// connBytes is the memory in bytes that an open connection takes: two buffers of 2 KB, the stacks of its goroutines and their
	// state, and a receive buffer of 16 KB.
	connBytes = 32 << 10
	// requestBytes is the memory in bytes that an ordinary request takes until its response is complete: the stacks of its goroutines,
	// buffers of the connection to the upstream with a receive buffer of 16 KB, a header of 20 lines, its copy and a response of 4 KB.
	requestBytes = 48 << 10
	// largeShare is the default of Server.LargeShare.
	largeShare = 0.8
	// roomWait is how long a request waits for room that other connections release. It is longer than closing them takes.
	roomWait = 100 * time.Millisecond
	// maxWaiters limits the connections that wait at the same time, because each looks for room at every release.
	maxWaiters = 32
)

// open opens the account of the connection. It returns false if there is no room for it.
func (c *conn) open() bool {
	holder, evicted := c.server.group.Open(connBytes, c.displace, time.Now())
	closeAll(evicted)
	c.holder = holder
	return holder != nil
}

// displace closes the connection to make room for others.
func (c *conn) displace(held int64) {
	if c.server.OnDisplaced != nil {
		c.server.OnDisplaced(c.netConn.RemoteAddr(), held)
	}
	c.abort()
}

func closeAll(evicted []*clientbudget.Holder) {
	for _, h := range evicted {
		h.CloseConn()
	}
}

// updateState tells the budget what the connection does. The caller holds mu.
func (c *conn) updateState() {
	state := clientbudget.Idle
	switch {
	case c.pending > 0:
		state = clientbudget.Running
	case c.reading:
		state = clientbudget.Reading
	}
	c.holder.SetState(state, time.Now())
}

// tryCharge charges n bytes. If there is no room, it closes other connections for a later attempt.
func (c *conn) tryCharge(n int64) bool {
	ok, evicted := c.holder.Charge(n, time.Now())
	closeAll(evicted)
	if ok {
		c.server.shrinkBodies()
	}
	return ok
}

// shrinkBodies keeps what the clients hold, and the memory that is kept for further bodies, within the budget together.
func (s *Server) shrinkBodies() {
	if free := s.Bodies.FreeBytes(); free > 0 {
		if room := s.Budget.Room(); free > room {
			s.Bodies.Shrink(room)
		}
	}
}

// charge is like tryCharge, but waits up to roomWait.
func (c *conn) charge(n int64) bool {
	return c.tryCharge(n) || c.await(func() bool { return c.tryCharge(n) })
}

// await calls try after each release of room until it succeeds or roomWait has passed.
func (c *conn) await(try func() bool) bool {
	defer c.server.waiters.Add(-1)
	if c.server.waiters.Add(1) > maxWaiters {
		c.holder.Refuse()
		return false
	}
	timeout := time.NewTimer(roomWait)
	defer timeout.Stop()
	for {
		freed := c.server.Budget.Freed()
		if try() {
			return true
		}
		select {
		case <-freed:
		case <-timeout.C:
			c.holder.Refuse()
			return false
		case <-c.ctx.Done():
			return false
		}
	}
}

// chargeHead charges n bytes for the request that is being read.
func (c *conn) chargeHead(n int64) bool {
	if !c.charge(n) {
		return false
	}
	c.headBytes += n
	return true
}
