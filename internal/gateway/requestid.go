package gateway

import (
	"strconv"

	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// maxIDLength bounds idempotency keys and the request ids sent by peers, in bytes.
	maxIDLength = 128
	// maxCallerIDLength bounds the request ids sent by callers. It is lower because this gateway and a peer each
	// append to them.
	maxCallerIDLength = 64
)

// withRequestID uses the caller's request id, or generates one, and returns it in the response.
func (g *Gateway) withRequestID(next handler) handler {
	return func(c *call) error {
		c.requestID = c.r.Header.Get(headerRequestID)
		if c.requestID == "" {
			c.requestID = strconv.FormatUint(g.nextID.Add(1), 16)
		}
		c.forwarded = c.r.Header.Get(headerHop) != ""
		limit := maxCallerIDLength
		if c.forwarded {
			limit = maxIDLength
		}
		if !validID(c.requestID, limit) {
			c.requestID = ""
			return resultcode.Errorf(resultcode.MalformedRequest, "%s must be at most %d printable ASCII characters", headerRequestID, limit)
		}
		c.w.Header().Set(headerRequestID, c.requestID)
		return next(c)
	}
}

// attemptID returns the id that one attempt sends to the upstream. It is unique even if a caller uses an id twice, so
// that a late response to another request never matches.
func (g *Gateway) attemptID(c *call) string {
	return c.requestID + "-" + strconv.FormatUint(g.nextID.Add(1), 16)
}

func validID(id string, limit int) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= limit
}
