package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/quota"
)

// refusalLogInterval is the minimum time between two summaries of the refusals of an account.
const refusalLogInterval = time.Second

// quotaCounter counts the requests of an account with a rate.
type quotaCounter struct {
	limit             quota.Limit
	accepted, refused metrics.Counter
	// unlogged is the number of refusals since loggedAt, the time of the last summary.
	unlogged int
	loggedAt time.Duration
	logged   bool
}

func counterNames(account string) (accepted, refused string) {
	return "account." + account + ".accepted", "account." + account + ".refused"
}

// updateCounters drops the metrics of accounts that have no limit any more. The caller holds mu.
func (q *quotas) updateCounters(limits map[string]quota.Limit) {
	for account := range q.counters {
		if _, ok := limits[account]; !ok {
			accepted, refused := counterNames(account)
			q.cfg.Metrics.Registry.Unregister(accepted)
			q.cfg.Metrics.Registry.Unregister(refused)
			delete(q.counters, account)
		}
	}
	for account, limit := range limits {
		q.counter(account).limit = limit
	}
}

// counter returns the counter of an account. The caller holds mu.
func (q *quotas) counter(account string) *quotaCounter {
	n := q.counters[account]
	if n == nil {
		accepted, refused := counterNames(account)
		n = &quotaCounter{
			accepted: metrics.GetOrRegisterCounter(accepted, q.cfg.Metrics.Registry),
			refused:  metrics.GetOrRegisterCounter(refused, q.cfg.Metrics.Registry),
		}
		q.counters[account] = n
	}
	return n
}

// count counts a decision and logs a summary of the refusals at most once per refusalLogInterval. The caller holds mu.
func (q *quotas) count(account string, d quota.Decision) {
	n := q.counters[account]
	if n == nil {
		return // the account has no limit any more
	}
	if d.Outcome == quota.Admitted {
		n.accepted.Inc(1)
		return
	}
	n.refused.Inc(1)
	n.unlogged++
	now := q.clock()
	if n.logged && now-n.loggedAt < refusalLogInterval {
		return
	}
	q.cfg.Log.Info("requests of an account over its limit", zap.String("account", account), zap.Int("refused", n.unlogged),
		zap.Float64("per_second", n.limit.Rate), zap.Float64("burst", n.limit.Burst), zap.Bool("alone", d.Alone),
		zap.Float64("grant_age_ms", float64(d.Age.Microseconds())/1000))
	n.unlogged, n.loggedAt, n.logged = 0, now, true
}
