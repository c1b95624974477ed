package upstreamconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const bufferSize = 4 << 10 // bytes; large enough for a typical header

// recentRequests is the number of requests whose ids a connection remembers. A request is sent again within milliseconds,
// in which a connection carries a few others at most.
const recentRequests = 8

// The buffers are pooled, so that idle connections hold none: 20 upstreams with 300 connections each would need 48 MB.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

var errHeaderTooLarge = errors.New("response header exceeds its limit")

// transport is one open connection. It is idle or carries one exchange.
type transport struct {
	pool *Pool
	conn net.Conn
	raw  syscall.RawConn // nil if the connection has no file descriptor

	closed    bool      // guarded by pool.mu
	idleSince time.Time // guarded by pool.mu

	// requestIDs are hashes of the ids of the last requests, since clients decide how long an id is. Two ids with the same hash cost a
	// new connection. The current exchange writes them; while the connection is idle, they are guarded by pool.mu.
	requestIDs [recentRequests]uint64
	requests   int

	in  countingReader
	out countingWriter
}

func newTransport(p *Pool, conn net.Conn) *transport {
	t := &transport{pool: p, conn: conn, idleSince: time.Now()}
	if c, ok := conn.(syscall.Conn); ok {
		t.raw, _ = c.SyscallConn()
	}
	t.in.conn, t.out.conn = conn, conn
	return t
}

// recordRequest records the id of a request before it is sent.
func (t *transport) recordRequest(id string) {
	t.requestIDs[t.requests%recentRequests] = xxhash.Sum64String(id)
	t.requests++
}

// hasCarried reports whether one of the last requests had the id.
func (t *transport) hasCarried(id string) bool {
	return id != "" && slices.Contains(t.requestIDs[:], xxhash.Sum64String(id))
}

// close closes the connection immediately. Blocked reads and writes return.
func (t *transport) close() {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.closeLocked()
}

func (t *transport) closeLocked() {
	if t.closed {
		return
	}
	t.closed = true
	t.conn.Close()
	t.pool.open--
	t.pool.opts.Limiter.release()
}

// stillIdle reports whether the idle connection is still open and has no unread bytes. A byte that arrives while no request
// is outstanding cannot be attributed to a request. A connection without a file descriptor cannot be checked and counts as
// idle.
func (t *transport) stillIdle() bool {
	if t.raw == nil {
		return true
	}
	empty := false
	err := t.raw.Read(func(fd uintptr) bool {
		empty = noPendingBytes(fd)
		return true // do not wait for data
	})
	return err == nil && empty
}

const (
	// headerLineCost is the memory in bytes that a line of a header takes until the response is complete: the parsed header, its copy
	// for the client, and the garbage of growing maps.
	headerLineCost = 384
	// headerByteCost is the memory in bytes that a byte of a header takes at most: a long line is copied while its buffer grows, and
	// once more when it is parsed.
	headerByteCost = 4
	// coveredLines and coveredBytes are the header lines and bytes that a caller has to allow for with each request. Ordinary
	// responses have fewer.
	coveredLines, coveredBytes = 20, bufferSize
)

var (
	errTooManyLines = errors.New("response header has too many lines")
	errNoRoom       = errors.New("clients hold all memory that they may use")
)

// countingReader counts the response bytes of one exchange, limits the size of its header and checks its fields. It may return up to
// one buffer of the parser beyond the limit of lines, because that may hold what follows the header.
type countingReader struct {
	conn    io.Reader
	total   int64
	limit   int64 // bytes of the header that may still be read; negative means unlimited
	bytes   int64 // of the header
	lines   int   // of the header
	max     int   // lines
	reserve func(n int64) bool
	room    int64 // that was reserved for the header
	fields  fieldScanner
	refused error   // why the header is refused; the parser may read on after an error
	err     error   // last error of the connection
	counter Counter // may be nil
}

// begin starts a header.
func (r *countingReader) begin(maxBytes, maxLines int, reserve func(n int64) bool) {
	r.limit, r.bytes, r.lines, r.max, r.reserve, r.room, r.refused = int64(maxBytes), 0, 0, maxLines, reserve, 0, nil
	r.fields = fieldScanner{}
}

// beginNext starts the header that follows an interim response. read is what was read of it with the interim response.
func (r *countingReader) beginNext(read []byte) {
	r.fields = fieldScanner{}
	_, r.refused = r.fields.scan(read)
}

// end ends the header.
func (r *countingReader) end() { r.limit, r.reserve = -1, nil }

// check checks a part of the header and makes room for it.
func (r *countingReader) check(data []byte) error {
	if _, err := r.fields.scan(data); err != nil {
		return err
	}
	r.bytes += int64(len(data))
	r.lines += bytes.Count(data, []byte{'\n'})
	needed := max(0, r.bytes-coveredBytes)*headerByteCost + int64(max(0, r.lines-coveredLines))*headerLineCost
	if needed <= r.room || r.reserve == nil {
		return nil
	}
	if !r.reserve(needed - r.room) {
		return errNoRoom
	}
	r.room = needed
	return nil
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	switch {
	case r.limit < 0 || r.refused != nil:
	case r.limit == 0:
		r.refused = errHeaderTooLarge
	case r.lines > r.max:
		r.refused = errTooManyLines
	}
	if r.refused != nil {
		return 0, r.refused
	}
	if r.limit > 0 && int64(len(p)) > r.limit {
		p = p[:r.limit]
	}
	n, err := r.conn.Read(p)
	r.total += int64(n)
	if r.counter != nil {
		r.counter.Inc(int64(n))
	}
	if err != nil {
		r.err = err
	}
	if r.limit > 0 {
		r.limit -= int64(n)
		if r.refused = r.check(p[:n]); r.refused != nil {
			return 0, r.refused
		}
	}
	return n, err
}

// countingWriter counts the request bytes of one exchange, and keeps the first error.
type countingWriter struct {
	conn    net.Conn
	counter Counter // may be nil

	writing sync.Mutex // held during a write, which takes as long as the upstream does not read

	mu      sync.Mutex
	written int64
	stopped bool
	err     error // first error of the connection
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.writing.Lock()
	defer w.writing.Unlock()
	if w.isStopped() {
		return 0, net.ErrClosed
	}
	n, err := w.conn.Write(p)
	if w.counter != nil {
		w.counter.Inc(int64(n))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written += int64(n)
	if w.err == nil {
		w.err = err
	}
	return n, err
}

func (w *countingWriter) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// lost interrupts the write in progress and returns the error that a write met in place of the reader: the kernel reports the reset
// of a connection only once, and the reader then finds a plain end. EPIPE is not such an error, because it follows an end that the
// reader can see. No exchange may follow on the connection.
func (w *countingWriter) lost() error {
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends the write too
	w.writing.Lock()
	defer w.writing.Unlock()
	_, err := w.state()
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

// stop rejects further writes and returns the final count. It must be called after the connection was closed; otherwise it
// waits for the write in progress.
func (w *countingWriter) stop() int64 {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	return w.written
}

// state returns the number of bytes and the error of the writes that have ended.
func (w *countingWriter) state() (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written, w.err
}
