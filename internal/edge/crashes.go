package edge

import (
	"context"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/crashguard"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
)

// Prefixes of the keys in failure reports that name a request by its fingerprint. Ids of upstreams contain no slash.
const (
	crashedKey   = "crashed/"   // an upstream was lost while it ran the request
	succeededKey = "succeeded/" // the request was answered successfully
)

// confirmDelay is the time after a cut connection after which the upstream is probed. A process that has crashed refuses
// connections by then.
const confirmDelay = 20 * time.Millisecond

// crashes finds requests that crash the upstreams that run them, and shares them with the other gateways, because the
// client may send them again to any gateway.
type crashes struct {
	guard   *crashguard.Guard
	records *crashRecords
	reports *failureReports
	log     *zap.Logger
	// incarnations of the upstreams, by id, as of the last call of observe.
	incarnations map[string]int64
}

func newCrashes(cfg Config, reports *failureReports) *crashes {
	return &crashes{guard: crashguard.New(), records: newCrashRecords(), reports: reports, log: cfg.Log}
}

// recordLoss records that an upstream was lost while it ran the suspect. It does nothing without a suspect.
func (c *crashes) recordLoss(suspect *crashguard.Suspect, now time.Time) {
	if suspect == nil || !c.records.recordLosses(suspect.Fingerprint, 1, now) {
		return
	}
	c.reports.add(crashedKey+suspect.Fingerprint, 1)
	c.log.Warn("upstream lost while it ran a request", zap.String("upstream", suspect.UpstreamID),
		zap.String("fingerprint", suspect.Fingerprint), zap.Bool("blocked", c.records.blocked(suspect.Fingerprint, now)))
}

// recordReport records a report of another gateway. It returns false if the key names no request.
func (c *crashes) recordReport(key string, count int, now time.Time) bool {
	if fingerprint, ok := strings.CutPrefix(key, succeededKey); ok {
		c.records.recordSuccess(fingerprint, now)
		return true
	}
	fingerprint, ok := strings.CutPrefix(key, crashedKey)
	if ok && !c.records.recordLosses(fingerprint, count, now) {
		c.reports.add(succeededKey+fingerprint, 1)
	}
	return ok
}

// recordRefusal records that an upstream refused a connection, which confirms that it was lost.
func (c *crashes) recordRefusal(upstream string, err error, now time.Time) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.recordLoss(c.guard.ConnectionRefused(upstream, now), now)
	}
}

// observe records the incarnations of the upstreams and forgets those that are gone. A new incarnation confirms that the
// previous one was lost. It must not be called concurrently.
func (c *crashes) observe(incarnations map[string]int64, now time.Time) {
	for id, incarnation := range incarnations {
		if previous, known := c.incarnations[id]; known && previous != incarnation {
			c.recordLoss(c.guard.ObserveBootID(id, strconv.FormatInt(incarnation, 10), now), now)
		}
	}
	for id := range c.incarnations {
		if _, listed := incarnations[id]; !listed {
			c.guard.Remove(id)
		}
	}
	c.incarnations = incarnations
}

// trackCrash runs the exchange of the attempt and records whether its upstream was lost meanwhile.
func (a *attempt) trackCrash(exchange func()) {
	c := a.call.g.crashes
	id := c.guard.Start(a.candidate.ID, strconv.FormatInt(a.candidate.Incarnation, 10), a.call.fingerprint, time.Now())
	exchange()
	now := time.Now()
	switch {
	case errors.Is(a.err, upstreamconn.ErrConnLost) && !a.notRun && !a.staleConn:
		c.recordLoss(c.guard.ConnectionCut(a.candidate.ID, id, now), now)
		time.AfterFunc(confirmDelay, func() { a.call.service.probe(context.Background(), a.candidate) })
		return
	case errors.Is(a.err, upstreamconn.ErrDial):
		c.recordRefusal(a.candidate.ID, a.err, now)
	case a.outcome() == balancing.Succeeded:
		c.records.recordSuccess(a.call.fingerprint, now)
	}
	c.guard.End(a.candidate.ID, id)
}
