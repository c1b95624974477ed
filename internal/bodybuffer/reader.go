package bodybuffer

import (
	"io"

	"github.com/pkg/errors"
)

var (
	errReleased = errors.New("the request body was released")
	errClosed   = errors.New("read after close of a request body")
)

// Reader reads a body from its beginning. It implements io.ReadCloser and must not be used concurrently.
type Reader struct {
	body    *Body
	segment int // the next to read
	offset  int // in that segment
	err     error
}

// Body returns the body that is read. It is nil after Close.
func (r *Reader) Body() *Body { return r.body }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	read := 0
	for read < len(p) && r.segment < len(r.body.segments) {
		n := copy(p[read:], r.body.segments[r.segment][r.offset:])
		read += n
		r.offset += n
		if r.offset == len(r.body.segments[r.segment]) {
			r.segment, r.offset = r.segment+1, 0
		}
	}
	if read == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return read, nil
}

// Close implements io.Closer. Further calls have no effect.
func (r *Reader) Close() error {
	if r.body != nil {
		body := r.body
		r.body, r.err = nil, errClosed
		body.leave()
	}
	return nil
}
