package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errBodiesTooLarge means that the bodies of the requests in flight have reached Server.MaxBufferedBytes.
var errBodiesTooLarge = errors.New("too many bytes of request bodies are held")

const (
	// bodyStep is the number of bytes by which a body of unknown length is read.
	bodyStep = 32 << 10
	// smallBody is the size up to which a body may use all of MaxBufferedBytes. Larger ones may use largeBodyShare of it, so that a
	// few slow uploads do not keep out the usual requests.
	smallBody      = 64 << 10
	largeBodyShare = 0.75
)

// Body is a request body that was read completely. It implements io.ReadCloser.
type Body struct {
	bytes.Reader
	data []byte
}

// Bytes returns the whole body. It must not be changed, and must not be used after the handler has returned.
func (b *Body) Bytes() []byte { return b.data }

// Close implements io.Closer.
func (*Body) Close() error { return nil }

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
	server   *Server
	reserved int64
}

// reserve makes room for the part of the body that is known to come. It must be called before the body is requested.
func (b *bodyReader) reserve(length int64) error {
	if length > b.server.MaxBodyBytes {
		return &http.MaxBytesError{Limit: b.server.MaxBodyBytes}
	}
	return b.grow(max(length, 0))
}

func (b *bodyReader) grow(n int64) error {
	limit := b.server.MaxBufferedBytes
	if b.reserved+n > smallBody {
		limit = int64(largeBodyShare * float64(limit))
	}
	if !b.server.bodies.take(n, limit) {
		return errBodiesTooLarge
	}
	b.reserved += n
	return nil
}

func (b *bodyReader) release() {
	b.server.bodies.release(b.reserved)
	b.reserved = 0
}

// read reads a body for which reserve was called. A negative length is unknown.
func (b *bodyReader) read(from io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		data := make([]byte, length)
		_, err := io.ReadFull(from, data)
		return data, err
	}
	var buffer bytes.Buffer
	for {
		// Buffers double when they grow, and the former one is still held meanwhile.
		if err := b.grow(2 * bodyStep); err != nil {
			return nil, err
		}
		n, err := io.CopyN(&buffer, from, bodyStep)
		if int64(buffer.Len()) > b.server.MaxBodyBytes {
			return nil, &http.MaxBytesError{Limit: b.server.MaxBodyBytes}
		}
		if err == io.EOF {
			return buffer.Bytes(), nil
		}
		if err != nil || n == 0 {
			return nil, err
		}
	}
}
