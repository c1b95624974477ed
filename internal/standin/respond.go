package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	streamInterval = 20 * time.Millisecond // time between two chunks of a rate-limited body
	maxChunkBytes  = 64 << 10              // bytes written at once
)

// FirstLine returns the first line of the body of a successful response. It identifies the request, so that a client can
// detect a response to another request.
func FirstLine(method, requestURI, key string) string {
	return fmt.Sprintf("%s %s %s\n", method, requestURI, key)
}

// respond sends the response for the outcome of a request.
func (u *Upstream) respond(rw http.ResponseWriter, r *http.Request, result outcome, b Behaviour) {
	header := rw.Header()
	health := u.health()
	header.Set("Bramleypick-Load", fmt.Sprintf("%d/%d", health.Inflight, health.Slots))
	header.Set("Bramleypick-Boot-Id", health.BootID)
	if id := r.Header.Get("Bramleypick-Request-Id"); id != "" {
		if u.simulator.draw(b.WrongEchoPercent) {
			id += "-other"
		}
		header.Set("Bramleypick-Request-Id", id)
	}
	header.Set("Content-Type", "text/plain")
	switch result {
	case shed:
		header.Set("Bramleypick-Not-Run", "1")
		http.Error(rw, "not run", http.StatusServiceUnavailable)
	case failed:
		status := b.FailStatus
		if status == 0 {
			status = http.StatusInternalServerError
		}
		http.Error(rw, "failed", status)
	case cancelled:
		http.Error(rw, "deadline passed", http.StatusGatewayTimeout)
	default:
		u.respondBody(rw, r, b)
	}
}

// respondBody sends the body of a successful response. It truncates the body or limits its rate if the behaviour says so.
func (u *Upstream) respondBody(rw http.ResponseWriter, r *http.Request, b Behaviour) {
	first := FirstLine(r.Method, r.URL.RequestURI(), r.Header.Get("Idempotency-Key"))
	length := max(len(first), b.ResponseBytes)
	rw.Header().Set("Content-Length", strconv.Itoa(length))
	end := length
	cut := u.simulator.draw(b.CutPercent)
	if cut {
		end = length / 2
	}
	body := &bodyReader{first: first, end: end}
	chunk := maxChunkBytes
	if b.StreamBytesPerS > 0 {
		chunk = max(1, int(float64(b.StreamBytesPerS)*streamInterval.Seconds()))
	}
	for body.next < end {
		if _, err := io.CopyN(rw, body, int64(min(chunk, end-body.next))); err != nil {
			return
		}
		if b.StreamBytesPerS > 0 && body.next < end {
			http.NewResponseController(rw).Flush()
			if sleep(r.Context(), nil, streamInterval) != completed {
				return
			}
		}
	}
	if cut {
		http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler) // closes the connection; the server does not log this value
	}
}

// bodyReader generates a body of end bytes: the first line followed by digits.
type bodyReader struct {
	first     string
	next, end int
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n := min(len(p), b.end-b.next)
	for i := range n {
		if at := b.next + i; at < len(b.first) {
			p[i] = b.first[at]
		} else {
			p[i] = '0' + byte(at%10)
		}
	}
	b.next += n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}
