package pipeline

import (
	"io"
	"net"
	"time"
)

// awaitClose reads while responses are pending after the last request, so that the requests end if the client closes the
// connection. Data that arrives belongs to no accepted request and is discarded.
func (c *conn) awaitClose() {
	c.mu.Lock()
	pending := c.pending > 0 && c.ctx.Err() == nil
	if pending {
		// The end of the last response interrupts the read. An error means that the connection is closed already.
		_ = c.netConn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if !pending {
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(c.reader, maxDiscarded))
	if n < maxDiscarded && !isTimeout(err) {
		c.cancel()
	}
}

// drain lets the connection end after the pending requests. An idle connection first waits for a request that may be on
// its way; it is closed if none arrives.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.pending == 0 && !c.reading {
		_ = c.setIdleDeadline() // an error means that the connection is closed already
	}
}

// linger ends the sending direction after the last response, then reads and discards data until the client closes the
// connection or lingerTimeout expires.
func (c *conn) linger() {
	c.mu.Lock()
	aborted := c.aborted
	c.mu.Unlock()
	tcp, ok := c.netConn.(*net.TCPConn)
	if aborted || !ok || c.ctx.Err() != nil || tcp.CloseWrite() != nil {
		return
	}
	if c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		// Data that arrives now belongs to no accepted request.
		_, _ = io.Copy(io.Discard, c.netConn)
	}
}
