package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Run sends the load of one configuration and returns once every request has its outcome. When ctx is done, the schedule
// ends early and the requests in flight are cancelled.
func Run(ctx context.Context, c Config) (Result, error) {
	c = c.withDefaults()
	if err := c.validate(); err != nil {
		return Result{}, err
	}
	httpClient := &http.Client{Transport: &http.Transport{}}
	defer httpClient.CloseIdleConnections()
	g := &generator{config: c, client: newClient(c), collector: newCollector(c), resolvers: map[string]*resolver{},
		inFlight: make(chan struct{}, c.MaxInFlight)}
	defer g.client.close()
	for _, class := range c.Classes {
		g.resolvers[class.Service] = &resolver{service: class.Service, entries: c.Entries, fetch: fetchAddresses(httpClient)}
	}
	g.run(ctx)
	return g.collector.result(g.resolvers), nil
}

type generator struct {
	config    Config
	client    *client
	collector *collector
	resolvers map[string]*resolver // by service
	inFlight  chan struct{}        // semaphore with one element for each request in flight
}

// run follows the schedule and waits for all requests. It never delays a request: one that exceeds Config.MaxInFlight is not
// sent.
func (g *generator) run(ctx context.Context) {
	s := newSchedule(g.config)
	var requests sync.WaitGroup
	defer requests.Wait()
	start := time.Now()
	for {
		at, class, ok := s.draw()
		if !ok || !waitPrecisely(ctx, start.Add(at)) {
			return
		}
		select {
		case g.inFlight <- struct{}{}:
		default:
			g.collector.recordUnsent(class)
			continue
		}
		requests.Go(func() {
			defer func() { <-g.inFlight }()
			g.send(ctx, class, start.Add(at), at)
		})
	}
}

// send sends one request with all its attempts and records the final outcome.
func (g *generator) send(ctx context.Context, index int, intended time.Time, at time.Duration) {
	class := &g.config.Classes[index]
	ctx, cancel := context.WithDeadline(ctx, intended.Add(class.timeout()))
	defer cancel()
	lateness := time.Since(intended)
	request := newCall(class, intended)
	final, attempts := g.attempts(ctx, request)
	g.collector.record(sample{class: index, at: at, latency: time.Since(intended), result: final, attempts: attempts,
		key: request.key, lateness: lateness})
}

// attempts sends the request until its outcome is final under the resend policy of its class.
func (g *generator) attempts(ctx context.Context, request call) (final attemptResult, attempts int) {
	policy, address := request.class.Resend, ""
	mayHaveRun := false
	for attempts = 1; ; attempts++ {
		final, address = g.attempt(ctx, request, address)
		repeatable := final.outcome != OutcomeOK && (final.outcome != OutcomeNotRun || policy.NotRun || mayHaveRun)
		if final.outcome != OutcomeOK && final.outcome != OutcomeNotRun {
			mayHaveRun = true
		}
		if !repeatable || attempts > policy.Max ||
			!sleepUntil(ctx, time.Now().Add(time.Duration(policy.DelayMillis)*time.Millisecond)) {
			break
		}
	}
	// That the last attempt was refused does not mean that the earlier ones did not run.
	if final.outcome == OutcomeNotRun && mayHaveRun {
		final.outcome = OutcomeUnknown
	}
	return final, attempts
}

func (g *generator) attempt(ctx context.Context, request call, avoid string) (attemptResult, string) {
	addresses, err := g.resolvers[request.class.Service].lookup(ctx)
	if err != nil {
		return attemptResult{OutcomeNotRun, "no address"}, avoid
	}
	if ms := request.class.Resend.AttemptTimeoutMillis; ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	return g.client.attempt(ctx, request, addresses, avoid)
}

// sleepUntil sleeps until the given time. It returns false if ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
