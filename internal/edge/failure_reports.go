package edge

import (
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/crashguard"
)

const (
	// failureCountDecay is the time constant of the recent counts of failures and successes, which show whether the
	// cause of the failures is likely to be local.
	failureCountDecay = 2 * time.Second
	// localFaultShare is the share of failures above which the gateway's own network link or VM is the likely cause.
	localFaultShare = 0.5
)

// failureReports counts failures by upstream, to be reported to the other gateways.
type failureReports struct {
	mu                sync.Mutex
	byUpstream        map[string]int
	byRequest         map[string]int // see crashes
	failed, succeeded float64        // recent counts, decaying with failureCountDecay
	countedAt         time.Time
}

func newFailureReports() *failureReports {
	return &failureReports{byUpstream: make(map[string]int), byRequest: make(map[string]int)}
}

// record counts a success or a failure of an upstream.
func (f *failureReports) record(upstream string, failed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := math.Exp(-float64(now.Sub(f.countedAt)) / float64(failureCountDecay))
	f.failed, f.succeeded, f.countedAt = f.failed*remaining, f.succeeded*remaining, now
	if failed {
		f.failed++
		f.byUpstream[upstream]++
	} else {
		f.succeeded++
	}
}

// add counts a report about a request.
func (f *failureReports) add(key string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.byRequest) < maxCrashRecords {
		f.byRequest[key] += count
	}
}

// take returns the reports since the last call. If the cause of the failures is likely to be local, it drops them and
// returns only the reports about requests.
func (f *failureReports) take() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.byUpstream) == 0 && len(f.byRequest) == 0 {
		return nil
	}
	taken := f.byRequest
	if f.failed <= localFaultShare*(f.failed+f.succeeded) {
		for id, n := range f.byUpstream {
			taken[id] = n
		}
	}
	f.byUpstream, f.byRequest = make(map[string]int), make(map[string]int)
	if len(taken) == 0 {
		return nil
	}
	return taken
}

// TakeFailures returns the number of requests and probes that failed since the last call, by upstream id, and reports
// about requests that crash upstreams, to be sent to the other gateways. It returns no failures while most requests and
// probes fail, because the cause is then likely to be local.
func (g *Gateway) TakeFailures() map[string]int { return g.failures.take() }

// CrashRecords returns what this gateway knows of requests that crash upstreams, by fingerprint, for gateways that start later.
func (g *Gateway) CrashRecords() map[string]crashguard.Record {
	return g.crashes.records.all(time.Now())
}

// MergeCrashRecords merges the result of CrashRecords of another gateway.
func (g *Gateway) MergeCrashRecords(records map[string]crashguard.Record) {
	g.crashes.records.merge(records, time.Now())
}

// RecordReportedFailures records what other gateways reported with TakeFailures.
func (g *Gateway) RecordReportedFailures(reported map[string]int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var suspects []string
	for id, n := range reported {
		if g.crashes.recordReport(id, n, now) {
			continue
		}
		s := g.serviceByUpstream[id]
		if s == nil {
			continue
		}
		s.mu.Lock()
		if s.balancer.RecordReportedFailures(id, n, now) {
			suspects = append(suspects, id)
		}
		s.mu.Unlock()
	}
	if len(suspects) > 0 {
		g.cfg.Log.Info("upstreams suspected because other gateways saw failures", zap.Strings("upstreams", suspects))
	}
}
