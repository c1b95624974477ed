package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/bramleypick/bramleypick/resultcode"
)

// withClass determines the service, class, client account and deadline of a request.
func (g *Gateway) withClass(next handler) handler {
	return func(c *call) error {
		snap := g.snapshot.Load()
		name, _, _ := strings.Cut(strings.TrimPrefix(c.r.URL.Path, "/"), "/")
		c.serviceView = snap.services[name]
		if c.serviceView == nil {
			return resultcode.Errorf(resultcode.UnknownService, "no service %q", name)
		}
		c.class = c.serviceView.config.Class(c.r.Method, c.r.URL.Path)
		if c.class == nil {
			return resultcode.Errorf(resultcode.UnknownClass, "no class of service %s matches %s %s", name, c.r.Method, c.r.URL.Path)
		}
		c.account = c.r.Header.Get(headerAccount)
		if c.account != "" && !snap.view.Config.HasClientAccount(c.account) {
			return resultcode.Errorf(resultcode.UnknownClientAccount, "no tenant %q", c.account)
		}
		if err := c.setDeadline(); err != nil {
			return err
		}
		return next(c)
	}
}

// setDeadline uses the caller's remaining time, limited to the timeout of the class. Planned stops rely on no request
// running longer than the longest timeout of its service's classes.
func (c *call) setDeadline() error {
	timeout := time.Duration(c.class.TimeoutMillis) * time.Millisecond
	if text := c.r.Header.Get(headerTimeout); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return resultcode.Errorf(resultcode.MalformedRequest, "%s must be a number of milliseconds", headerTimeout)
		}
		if millis <= 0 {
			return resultcode.Errorf(resultcode.DeadlineBeforeStart, "the deadline had passed on arrival")
		}
		timeout = min(timeout, time.Duration(millis)*time.Millisecond)
	}
	c.deadline = c.start.Add(timeout)
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), c.deadline)
	return nil
}

// callerDisconnected reports whether the caller disconnected before the deadline.
func (c *call) callerDisconnected() bool {
	return c.r.Context().Err() != nil && time.Now().Before(c.deadline)
}

// remainingMillis returns the time to the deadline in ms, at least 1.
func (c *call) remainingMillis() string {
	return strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10)
}
