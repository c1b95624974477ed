package pipeline

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/bodybuffer"
)

// errBodiesTooLarge means that the bodies of the requests in flight have reached Server.MaxBufferedBytes.
var errBodiesTooLarge = errors.New("too many bytes of request bodies are held")

const (
	// smallBody is the size up to which a body may use all of MaxBufferedBytes. Larger ones may use largeBodyShare of it, so that a
	// few slow uploads do not keep out the usual requests.
	smallBody      = 64 << 10
	largeBodyShare = 0.8
)

// byteBudget counts the bytes that the bodies of the requests in flight take.
type byteBudget struct{ used atomic.Int64 }

// take reserves n bytes if the total stays within limit. Zero means no limit.
func (b *byteBudget) take(n, limit int64) bool {
	if b.used.Add(n) > limit && limit > 0 {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// bodyReader reads one body into memory within the limits of a server.
type bodyReader struct {
	conn     *conn
	limit    int64 // of the body, in bytes
	reserved int64
}

// reserve makes room for the part of the body that is known to come. It must be called before the body is requested.
func (b *bodyReader) reserve(length int64) error {
	if length > b.limit {
		return &http.MaxBytesError{Limit: b.limit}
	}
	return b.grow(bodybuffer.Cost(max(length, 0)))
}

// grow reserves n more bytes, in the limit for bodies and in the budget of all clients.
func (b *bodyReader) grow(n int64) error {
	s := b.conn.server
	limit := s.MaxBufferedBytes
	if b.reserved+n > smallBody {
		limit = int64(largeBodyShare * float64(limit))
	}
	take := func() bool { return s.bodies.take(n, limit) }
	if !take() {
		if limit > 0 && n > limit || !b.displace(n) || !b.conn.await(take) {
			return errBodiesTooLarge
		}
	}
	if !b.conn.charge(n) {
		s.bodies.release(n)
		return errBodiesTooLarge
	}
	b.reserved += n
	return nil
}

// displace closes connections whose clients take long to send a request and that hold n bytes together. It returns false if there
// are none.
func (b *bodyReader) displace(n int64) bool {
	evicted := b.conn.holder.MakeRoom(n, time.Now())
	closeAll(evicted)
	return len(evicted) > 0
}

// release ends the reservation for a body that was not read completely.
func (b *bodyReader) release() {
	b.conn.releaseBody(b.reserved)
	b.reserved = 0
}

// read reads a body for which reserve was called. A negative length is unknown. The result holds the reservation until it is released.
func (b *bodyReader) read(from io.Reader, length int64) (*bodybuffer.Body, error) {
	s := b.conn.server
	var body *bodybuffer.Body
	var err error
	if length >= 0 {
		body, err = bodybuffer.ReadLength(from, length, s.Bodies)
	} else {
		body, err = bodybuffer.ReadAll(from, b.limit, b.grow, s.Bodies)
	}
	if err != nil {
		return nil, err
	}
	conn, reserved := b.conn, b.reserved
	b.reserved = 0
	body.OnRelease(func() { conn.releaseBody(reserved) })
	return body, nil
}

// releaseBody ends a reservation of n bytes for a body.
func (c *conn) releaseBody(n int64) {
	c.server.bodies.release(n)
	c.holder.Release(n)
}
