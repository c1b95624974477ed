package upstreamconn

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// Conn is a handle for one exchange on a connection.
type Conn struct {
	transport *transport
	reused    bool
	newReason NewReason
	used      atomic.Bool
}

// Outcome describes the use of the connection during an exchange.
type Outcome struct {
	// BytesWritten is the number of request bytes passed to the operating system before Exchange returned. Zero proves that
	// the request was not executed.
	BytesWritten int64
	// BytesRead is the number of response bytes read before Exchange returned. Body bytes read later are not included.
	BytesRead int64
	// Reused is true if the connection had been idle in the pool.
	Reused bool
}

// Reused reports whether the connection had been idle in the pool.
func (c *Conn) Reused() bool { return c.reused }

// NewReason returns why the connection is a new one.
func (c *Conn) NewReason() NewReason { return c.newReason }

// CountInto sets the counters of the bytes that the exchange sends and receives, including those of the body that are read after
// Exchange has returned. It must not be called after Exchange or Release.
func (c *Conn) CountInto(sent, received Counter) {
	c.transport.out.counter, c.transport.in.counter = sent, received
}

// IdleFor returns how long a reused connection has been idle, and zero for a new one. It must not be called after Exchange
// or Release.
func (c *Conn) IdleFor() time.Duration {
	if !c.reused {
		return 0
	}
	return time.Since(c.transport.idleSince)
}

// Release returns the connection to the pool without an exchange. After Exchange it has no effect.
func (c *Conn) Release() {
	if !c.used.Swap(true) {
		c.transport.pool.put(c.transport, false)
	}
}

// Exchange sends the request once and returns the response header with an unread body. The caller must close the body, and
// must not call Read and Close concurrently. If ctx ends before the body is closed, the connection is closed.
// http.Request.Write encodes the request and closes its body. It adds a User-Agent unless the header has one, even an
// empty one.
//
// A request body of unknown length or of more than 32 KiB is sent by a separate goroutine, so that an early response can be
// read. In that case the goroutine may still read the request's body after Exchange has returned. It ends at the first read
// after the response body was closed.
//
// On an error the connection is closed, except if nothing was sent because ctx had ended before the call or the Conn was used
// before. The errors are ErrConnUsed, ErrIncompleteRequest, ErrCanceled, ErrTimeout, ErrUnresponsive, ErrConnLost, ErrNoRoom,
// ErrMalformedResponse and ErrMismatchedResponse. Reading a body that is shorter than declared fails with ErrConnLost, never with
// io.EOF.
func (c *Conn) Exchange(ctx context.Context, r *http.Request) (*http.Response, Outcome, error) {
	if c.used.Swap(true) {
		closeBody(r)
		return nil, Outcome{Reused: c.reused}, newError(ErrConnUsed, nil)
	}
	if ctx.Err() != nil {
		closeBody(r)
		c.transport.pool.put(c.transport, false)
		return nil, Outcome{Reused: c.reused}, contextError(ctx.Err(), false)
	}
	x := &exchange{ctx: ctx, transport: c.transport, request: r, reused: c.reused, idleSince: c.transport.idleSince}
	resp, err := x.run()
	out := Outcome{BytesRead: x.transport.in.total, Reused: c.reused}
	if err != nil {
		x.discard()
		out.BytesWritten = x.transport.out.stop()
		return nil, out, err
	}
	out.BytesWritten, _ = x.transport.out.state()
	return resp, out, nil
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		r.Body.Close()
	}
}
