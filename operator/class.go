package operator

import (
	"time"

	"github.com/bramleypick/bramleypick/dynconfig"
)

// Class declares one class of a service. Its methods return the Class, so that calls can be chained.
type Class struct {
	config dynconfig.Class
}

// Method restricts the class to one HTTP method.
func (c *Class) Method(method string) *Class { c.config.Method = method; return c }

// Path restricts the class to a path prefix, which must start with a slash and the name of the service.
func (c *Class) Path(prefix string) *Class { c.config.PathPrefix = prefix; return c }

// Idempotent declares that running a request twice has the same effect as running it once.
func (c *Class) Idempotent() *Class { c.config.Idempotent = true; return c }

// Priority determines which requests are shed first under overload: those with the lowest number. Default 0.
func (c *Class) Priority(n int) *Class { c.config.Priority = n; return c }

// Timeout sets the timeout of requests that do not set a deadline, in whole milliseconds. Default 10 s.
func (c *Class) Timeout(d time.Duration) *Class {
	c.config.TimeoutMillis = int(ceilMillis(d))
	return c
}

// MaxBodyBytes sets the maximum size of a request body, in bytes. Default 1 MiB.
func (c *Class) MaxBodyBytes(n int) *Class { c.config.MaxBodyBytes = n; return c }

// HedgeAfter sets the delay after which a hedged second attempt of an idempotent request starts, in whole milliseconds.
// Without it, requests are not hedged.
func (c *Class) HedgeAfter(d time.Duration) *Class {
	c.config.HedgeAfterMillis = int(ceilMillis(d))
	return c
}

// KeyHorizon sets how long claims of idempotency keys are kept, in whole milliseconds. Default 24 h.
func (c *Class) KeyHorizon(d time.Duration) *Class {
	c.config.KeyHorizonMillis = ceilMillis(d)
	return c
}

// UntimedKeys accepts idempotency keys without a creation time. A request with such a key can run a second time if it is
// resent after the horizon.
func (c *Class) UntimedKeys() *Class { c.config.UntimedKeys = true; return c }

// ceilMillis converts d to milliseconds. It rounds away from zero, because zero would mean the default.
func ceilMillis(d time.Duration) int64 {
	millis := d / time.Millisecond
	switch rest := d % time.Millisecond; {
	case rest > 0:
		millis++
	case rest < 0:
		millis--
	}
	return int64(millis)
}
