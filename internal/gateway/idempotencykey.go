package gateway

import (
	"crypto/sha256"
	"strconv"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/resultcode"
)

// withIdempotencyKey validates the idempotency key of a request that must not run twice.
func (g *Gateway) withIdempotencyKey(next handler) handler {
	return func(c *call) error {
		if c.class.Idempotent {
			return next(c)
		}
		key := c.r.Header.Get(headerIdempotencyKey)
		if key == "" {
			return resultcode.Errorf(resultcode.IdempotencyKeyRequired, "class %s requires %s", c.class.Name, headerIdempotencyKey)
		}
		if !validID(key, maxIDLength) {
			return resultcode.Errorf(resultcode.MalformedRequest, "%s must be at most %d printable ASCII characters", headerIdempotencyKey, maxIDLength)
		}
		claim := &claimRequest{key: controlstate.ClaimKey{Service: c.serviceView.config.Name, ClientAccount: c.account, Key: key}}
		switch text := c.r.Header.Get(headerKeyTime); {
		case text != "":
			millis, err := strconv.ParseInt(text, 10, 64)
			if err != nil || millis <= 0 {
				return resultcode.Errorf(resultcode.MalformedRequest, "%s must be a time in ms since the Unix epoch", headerKeyTime)
			}
			claim.keyUnixMilli = millis
		case !c.class.UntimedKeys:
			return resultcode.Errorf(resultcode.IdempotencyKeyRequired, "class %s requires %s", c.class.Name, headerKeyTime)
		}
		claim.digest = requestDigest(c)
		c.claim = claim
		return next(c)
	}
}

// requestDigest returns the SHA-256 hash of method, path, query and body.
func requestDigest(c *call) []byte {
	h := sha256.New()
	for _, part := range [...]string{c.r.Method, c.r.URL.EscapedPath(), c.r.URL.RawQuery} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.body)
	return h.Sum(nil)
}
