package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/bootclock"
	"github.com/bramleypick/bramleypick/quota"
	"github.com/bramleypick/bramleypick/routing"
)

// quotas admits the requests of accounts with a rate. It has no goroutine; its timer runs only while requests wait for tokens or
// this gateway has a share of an account's rate.
type quotas struct {
	cfg     Config
	clock   func() time.Duration
	enabled atomic.Bool // an account of the configuration has a rate

	mu       sync.Mutex
	config   *routing.Config
	limits   map[string]quota.Limit   // of config
	gateway  *quota.Gateway           // nil until enabled
	waiting  map[string][]*tokenWait  // by account, the oldest first
	counters map[string]*quotaCounter // by account
	timer    *time.Timer              // nil until first armed
	alone    bool                     // as logged last
	aloneAt  time.Duration
}

// tokenWait is a request that waits for a token.
type tokenWait struct{ decided chan quota.Decision }

func newQuotas(cfg Config) *quotas {
	q := &quotas{cfg: cfg, clock: cfg.Clock, waiting: make(map[string][]*tokenWait), counters: make(map[string]*quotaCounter)}
	if q.clock == nil {
		q.clock = bootclock.Now
	}
	return q
}

// update applies the limits of a configuration.
func (q *quotas) update(config *routing.Config, self string, gateways int) {
	q.mu.Lock()
	changed := config != q.config
	if changed {
		q.config, q.limits = config, quota.Limits(config)
	}
	if q.limits == nil && q.gateway == nil {
		q.mu.Unlock()
		return
	}
	if q.gateway == nil {
		q.gateway = quota.NewGateway(self, time.Now().UnixNano(), q.cfg.QuotaBound, rand.Float64)
	}
	q.gateway.SetLimits(q.limits, gateways)
	q.enabled.Store(q.limits != nil)
	if changed {
		q.updateCounters(q.limits)
	}
	q.mu.Unlock()
	q.proceed()
}

// acquire decides about a request of an account. It waits for a token for at most the given time, or until stop is closed.
func (q *quotas) acquire(ctx context.Context, stop <-chan struct{}, account string, maxWait time.Duration) quota.Decision {
	q.mu.Lock()
	if q.gateway == nil {
		q.mu.Unlock()
		return quota.Decision{Outcome: quota.Admitted, UseBy: q.clock() + maxWait, Age: quota.NoGrant}
	}
	d := q.gateway.Arrive(account, q.clock())
	if d.Outcome != quota.Waiting {
		q.count(account, d)
		q.mu.Unlock()
		q.proceed()
		return d
	}
	w := &tokenWait{decided: make(chan quota.Decision, 1)}
	q.waiting[account] = append(q.waiting[account], w)
	q.mu.Unlock()
	q.proceed()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return d
	case <-timer.C:
	case <-stop:
	case <-ctx.Done():
	}
	return q.endWait(account, w)
}

// endWait refuses a request that waited for too long, unless it was decided at the same time.
func (q *quotas) endWait(account string, w *tokenWait) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting[account], w)
	if i < 0 {
		return <-w.decided
	}
	q.waiting[account] = slices.Delete(q.waiting[account], i, i+1)
	d := q.gateway.Refuse(account, q.clock())
	q.count(account, d)
	return d
}

// giveBack returns the token of a request that was not sent.
func (q *quotas) giveBack(account string, d quota.Decision) {
	q.mu.Lock()
	q.gateway.GiveBack(account, d, q.clock())
	q.counter(account).accepted.Dec(1)
	q.mu.Unlock()
	q.proceed()
}

// receive takes the grant of the owner.
func (q *quotas) receive(grant quota.Grant) {
	q.mu.Lock()
	if q.gateway == nil {
		q.mu.Unlock()
		return
	}
	q.gateway.Receive(grant, q.clock())
	q.mu.Unlock()
	q.proceed()
}

// proceed decides about the requests that wait, sends a request for tokens if one is due, and arms the timer.
func (q *quotas) proceed() {
	q.mu.Lock()
	now := q.clock()
	q.decideWaiting(now)
	request, due := q.gateway.NextRequest(now)
	q.logContact(now)
	if at, ok := q.gateway.NextDue(now); ok {
		q.arm(at - now)
	}
	q.mu.Unlock()
	if due && q.cfg.RequestTokens != nil {
		q.cfg.RequestTokens(request) // may call receive
	}
}

func (q *quotas) decideWaiting(now time.Duration) {
	for account, waits := range q.waiting {
		for len(waits) > 0 {
			d := q.gateway.Decide(account, now)
			if d.Outcome == quota.Waiting {
				break
			}
			q.count(account, d)
			waits[0].decided <- d
			waits = waits[1:]
		}
		if len(waits) == 0 {
			delete(q.waiting, account)
		} else {
			q.waiting[account] = waits
		}
	}
}

func (q *quotas) arm(after time.Duration) {
	if q.timer == nil {
		q.timer = time.AfterFunc(after, q.proceed)
		return
	}
	q.timer.Reset(after)
}

// logContact logs that no owner responds any more, or again.
func (q *quotas) logContact(now time.Duration) {
	alone := q.gateway.Alone(now)
	if alone == q.alone {
		return
	}
	q.alone = alone
	if alone {
		q.aloneAt = now
		q.cfg.Log.Warn("no replica grants tokens, accounts are limited to the shares of this gateway",
			zap.Int("waiting", q.gateway.Waiting()))
		return
	}
	q.cfg.Log.Info("tokens are granted again", zap.Float64("alone_ms", float64((now-q.aloneAt).Microseconds())/1000))
}

// ReceiveGrant takes a reply to Config.RequestTokens.
func (g *Gateway) ReceiveGrant(grant quota.Grant) { g.quotas.receive(grant) }
