package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"

	"github.com/bramleypick/bramleypick/internal/peernet"
)

// streamResponseWriter is an http.ResponseWriter that writes an HTTP/1.1 response to a stream. A body without a
// declared length is sent with chunked encoding, so that the peer can tell a complete body from a truncated one.
type streamResponseWriter struct {
	stream    peernet.Stream
	request   *http.Request
	out       *bufio.Writer
	body      io.Writer
	chunked   io.WriteCloser
	header    http.Header
	started   bool
	remaining int64 // Bytes of the declared length not yet written; -1 for a chunked body.
}

func newStreamResponseWriter(s peernet.Stream, r *http.Request) *streamResponseWriter {
	return &streamResponseWriter{stream: s, request: r, out: bufio.NewWriter(s), header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (w *streamResponseWriter) Header() http.Header { return w.header }

// WriteHeader writes the status line and the header. It ignores informational (1xx) statuses.
func (w *streamResponseWriter) WriteHeader(status int) {
	if w.started || status < http.StatusOK {
		return
	}
	w.started = true
	w.setFraming(status)
	fmt.Fprintf(w.out, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	_ = w.header.Write(w.out)
	_, _ = w.out.WriteString("\r\n")
}

func (w *streamResponseWriter) setFraming(status int) {
	w.header.Del("Transfer-Encoding")
	if w.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		w.body = io.Discard
		return
	}
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.remaining = n
		w.body = w.out
		return
	}
	w.header.Del("Content-Length")
	w.header.Set("Transfer-Encoding", "chunked")
	w.remaining = -1
	w.chunked = httputil.NewChunkedWriter(w.out)
	w.body = w.chunked
}

// Write implements io.Writer. It returns http.ErrContentLength if p exceeds the declared length.
func (w *streamResponseWriter) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	if w.body == w.out {
		if int64(len(p)) > w.remaining {
			return 0, http.ErrContentLength
		}
		w.remaining -= int64(len(p))
	}
	return w.body.Write(p)
}

// Flush implements http.Flusher.
func (w *streamResponseWriter) Flush() { _ = w.out.Flush() }

// finish completes the response and closes this side of the stream. It aborts the stream if the body is shorter than
// declared.
func (w *streamResponseWriter) finish() {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	if w.chunked != nil {
		_ = w.chunked.Close()
		_, _ = w.out.WriteString("\r\n")
	}
	if w.body == w.out && w.remaining > 0 || w.out.Flush() != nil {
		w.stream.Abort()
		return
	}
	w.stream.Close()
}
