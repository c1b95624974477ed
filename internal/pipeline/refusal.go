package pipeline

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// noRoomRetryAfter is the time in seconds after which a request that found no room may be sent again. Most requests take less.
const noRoomRetryAfter = "0.500"

// handleReadError handles the end of reading: the client closed the connection or sent an invalid request.
func (c *conn) handleReadError(err error, turn <-chan struct{}) {
	c.mu.Lock()
	ended := !c.accepting || c.draining && !c.reading
	c.accepting = false
	c.mu.Unlock()
	status := 0
	var bodyTooLarge *http.MaxBytesError
	switch {
	case isConnectionError(err) && !isTimeout(err):
		c.cancel()
		return
	case ended:
		return // drain or a response with Connection: close ended the read
	case errors.Is(err, errHeaderTooLarge), errors.Is(err, errTooManyLines):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodiesTooLarge), errors.Is(err, errNoRoom):
		status = http.StatusServiceUnavailable
	case errors.As(err, &bodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case isConnectionError(err):
		c.cancel()
		return
	default:
		status = http.StatusBadRequest
	}
	c.holder.Release(c.headBytes)
	c.headBytes = 0
	if c.server.OnRefused != nil {
		c.server.OnRefused(c.netConn.RemoteAddr(), status)
	}
	select {
	case <-turn:
	case <-c.ctx.Done():
		return
	}
	c.writeError(status, errors.Is(err, errNoRoom))
}

func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}

// writeError responds to an invalid request, or to one that found no room. The caller waits until the earlier responses are
// complete.
func (c *conn) writeError(status int, noRoom bool) {
	resp := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{}, Body: http.NoBody,
	}
	if status == http.StatusServiceUnavailable {
		resp.Header.Set("Retry-After", "0") // another server may have room
	}
	if noRoom {
		resp.Header.Set("Retry-After", noRoomRetryAfter)
		if body := c.server.RefusalBody; body != nil {
			resp.Header.Set("Content-Type", "application/json")
			resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		}
	}
	// Errors are ignored: the client may have disconnected, and the connection is closed next in any case.
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = resp.Write(c.netConn)
}
