package pipeline

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/bodybuffer"
)

// ErrBodyNotRead is the error of reading a body that was not read because BodyLimit named the request as one that is refused.
var ErrBodyNotRead = errors.New("the body of a refused request is not read")

// unreadBody is the body of a request that is refused because of its header. A handler that does not refuse it gets an error.
type unreadBody struct{}

// Read implements io.Reader.
func (unreadBody) Read([]byte) (int, error) { return 0, ErrBodyNotRead }

// Close implements io.Closer.
func (unreadBody) Close() error { return nil }

// bodyLimit returns the largest body in bytes that is read of a request, or a negative number if the handler refuses it without. Small
// bodies are read in any case: a client that still sends when the connection is closed may lose the response.
func (s *Server) bodyLimit(r *http.Request) int64 {
	if s.BodyLimit == nil || r.ContentLength >= 0 && r.ContentLength <= bodybuffer.SegmentBytes {
		return s.MaxBodyBytes
	}
	return min(s.MaxBodyBytes, s.BodyLimit(r))
}
