package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/quota"
)

// tokenWaitShare is the share of the time until the deadline for which a request waits for a token while no owner of the tokens
// responds. The rest is for the upstream. An owner that responds decides within milliseconds.
const tokenWaitShare = 0.5

// errTokenEnded is the error of an attempt whose request waited for longer than its token is valid, which happens when the process
// or its VM was suspended.
var errTokenEnded = errors.New("the token of the account ended before the request was sent")

// States of callToken.state.
const (
	tokenNone int32 = iota // the account has no rate
	tokenHeld
	tokenUsed
	tokenReturned
)

// callToken is the token with which a request of an account was admitted.
type callToken struct {
	state    atomic.Int32
	decision quota.Decision
	// waited is how long the request waited for it.
	waited time.Duration
}

// acquireToken admits a request of an account with a rate, or refuses it.
func (c *call) acquireToken(ctx context.Context) *failure {
	if c.account == nil || c.account.RequestsPerSecond <= 0 || !c.g.quotas.enabled.Load() {
		return nil
	}
	began := time.Now()
	d := c.g.quotas.acquire(ctx, c.g.finished, c.account.Name, time.Duration(tokenWaitShare*float64(c.timeLeft())))
	c.token.decision, c.token.waited = d, time.Since(began)
	if ctx.Err() != nil {
		if d.Outcome == quota.Admitted {
			c.g.quotas.giveBack(c.account.Name, d)
		}
		return &clientDisconnected
	}
	if d.Outcome != quota.Admitted {
		f := overQuota
		f.retryAfter = d.RetryAfter
		return &f
	}
	c.token.state.Store(tokenHeld)
	return nil
}

// useToken reports whether the request may be sent. It is called before each attempt; the first one uses the token.
func (c *call) useToken() bool {
	switch c.token.state.Load() {
	case tokenNone, tokenUsed:
		return true
	case tokenReturned:
		return false
	}
	if c.g.quotas.clock() >= c.token.decision.UseBy {
		return false
	}
	return c.token.state.CompareAndSwap(tokenHeld, tokenUsed) || c.token.state.Load() == tokenUsed
}

// returnToken gives the token back if nothing was sent.
func (c *call) returnToken() {
	if c.token.state.CompareAndSwap(tokenHeld, tokenReturned) {
		c.g.quotas.giveBack(c.account.Name, c.token.decision)
	}
}

// quotaFields returns the inputs of the decision about a refused request.
func (c *call) quotaFields() []zap.Field {
	d := &c.token.decision
	return []zap.Field{
		zap.Float64("per_second", c.account.RequestsPerSecond), zap.Float64("burst", c.account.Burst), zap.Bool("alone", d.Alone),
		zap.Float64("grant_age_ms", float64(d.Age.Microseconds())/1000),
		zap.Float64("retry_after_ms", float64(d.RetryAfter.Microseconds())/1000),
	}
}
