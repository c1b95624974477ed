package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/bramleypick/bramleypick/resultcode"
)

// withBody reads the request body into memory before the request is queued. A caller that sends slowly therefore holds
// no slot, and a retry or a claim has the complete body.
func (g *Gateway) withBody(next handler) handler {
	return func(c *call) error {
		if c.r.Body == nil || c.r.Body == http.NoBody || c.r.ContentLength == 0 {
			return next(c)
		}
		limit := int64(c.class.MaxBodyBytes)
		if c.r.ContentLength > limit {
			return bodyTooLargeError(limit)
		}
		size := limit
		if c.r.ContentLength > 0 {
			size = c.r.ContentLength
		}
		c.bufferedBytes = size
		if g.bufferedBytes.Add(size) > g.cfg.MaxBufferedBytes {
			return resultcode.Errorf(resultcode.QueueFull, "the gateway holds too many request bodies")
		}
		if err := c.readBody(limit); err != nil {
			return err
		}
		return next(c)
	}
}

func (c *call) readBody(limit int64) error {
	// Errors are ignored: a connection without support for deadlines, as in tests, returns one.
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	var err error
	if length := c.r.ContentLength; length > 0 {
		c.body = make([]byte, length)
		_, err = io.ReadFull(c.r.Body, c.body)
	} else {
		c.body, err = io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	}
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil && !time.Now().Before(c.deadline):
		return resultcode.Errorf(resultcode.DeadlineBeforeStart, "the deadline passed while the request body arrived")
	case err != nil:
		return resultcode.Errorf(resultcode.MalformedRequest, "read the request body: %v", err)
	case int64(len(c.body)) > limit:
		return bodyTooLargeError(limit)
	}
	return nil
}

func bodyTooLargeError(limit int64) *resultcode.Error {
	return resultcode.Errorf(resultcode.RequestTooLarge, "the body exceeds %d bytes", limit)
}
