package edge

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/hedging"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
	"github.com/bramleypick/bramleypick/retrybudget"
	"github.com/bramleypick/bramleypick/routing"
)

// service is the state of one service in one gateway. The mutex guards the balancer, which is not safe for concurrent
// use, and the fields below it.
type service struct {
	cfg        Config
	name       string
	pacer      *pacer
	failures   *failureReports
	crashes    *crashes
	limits     *limitReports
	unbuffered *unbufferedResponses
	metrics    *serviceMetrics
	budget     *retrybudget.Window
	mu         sync.Mutex
	balancer   *balancing.Service
	hedging    *hedging.Policy // nil without Config.HedgeLimit
	healthPath string
	maxConns   int
	// coldPerSecond is the rate at which this gateway may send to a cold upstream. Zero means no limit.
	coldPerSecond float64
	limitSenders  int                           // the number of gateways among which request limits are divided
	pools         map[string]*upstreamconn.Pool // by address
	meanProbeTime time.Duration                 // moving average of the duration of successful probes
	noLoadReports bool                          // the upstreams report no load, so that probes yield no information
	reportsLoad   bool                          // an upstream has reported its load
	watched       map[string]bool               // upstreams with a health request in flight; see Gateway.WatchCold
	rollout       *serviceRollout               // nil while no rollout of the service is running
	admission     atomic.Pointer[admission]     // nil if all requests are alike
}

func newService(g *Gateway, name string) *service {
	cfg := g.cfg
	s := &service{
		cfg: cfg, name: name, pacer: g.pacer, failures: g.failures, crashes: g.crashes, limits: g.limits, unbuffered: g.unbuffered,
		metrics: cfg.Metrics.service(name), balancer: balancing.New(), pools: make(map[string]*upstreamconn.Pool), watched: make(map[string]bool),
		budget: retrybudget.NewWindow(cfg.RetryWindow, cfg.RetryRatio*retryMargin, 0),
	}
	if cfg.HedgeLimit != nil {
		s.hedging = hedging.New(*cfg.HedgeLimit)
	}
	return s
}

// update replaces the service's configuration and upstreams. It sets this gateway's part of the limits that apply to all
// gateways together.
func (s *service) update(c *routing.Service, upstreams []balancing.Upstream, gateways, limitSenders int, now time.Time) {
	s.budget.SetSlack(s.cfg.RetrySlack * retryMargin / float64(gateways))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthPath, s.maxConns, s.limitSenders = c.HealthPath, c.MaxConnections, limitSenders
	s.coldPerSecond = 0
	if c.WarmupRequestsPerSecond > 0 {
		// In any second, each owner may send a burst of one request in addition to its rate.
		limit := c.WarmupRequestsPerSecond*s.cfg.ColdFactor + s.cfg.ColdSlack
		s.coldPerSecond = min(c.WarmupRequestsPerSecond, limit/maxColdOwners-1)
	}
	s.configure()
	s.balancer.SetUpstreams(upstreams, now)
	current := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		if !u.Evacuated {
			current[u.Address] = true
		}
	}
	for address, pool := range s.pools {
		if !current[address] {
			pool.Close()
			delete(s.pools, address)
		}
	}
}

// retainRoutes drops the state of all other routes.
func (s *service) retainRoutes(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RetainRoutes(func(route string) bool { return names[route] })
	if s.hedging != nil {
		s.hedging.RetainRoutes(func(route string) bool { return names[route] })
	}
}

// close closes the idle connections. Busy ones are closed at the end of their exchange.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, pool := range s.pools {
		pool.Close()
		delete(s.pools, address)
	}
}

// configure passes the configuration to the balancer. The caller holds mu.
func (s *service) configure() {
	s.balancer.Configure(balancing.Config{
		ColdPerSecond: s.coldPerSecond, VerifyWarm: s.coldPerSecond > 0 && s.healthPath != "" && !s.noLoadReports,
		Gateways: s.limitSenders, PreferKept: s.cfg.ReuseConnections,
	})
}

// pool returns the connection pool for an address, and creates it if there is none.
func (s *service) pool(address string) *upstreamconn.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[address]
	if p == nil {
		p = upstreamconn.NewPool(address, upstreamconn.Options{
			MaxConnections: s.maxConns, DialTimeout: dialTimeout, IdleLimit: idleConnTimeout,
			FollowKeepAlive: s.cfg.ReuseConnections, OnDropped: s.logDropped(address),
			RequestIDHeader: s.cfg.Protocol.RequestIDHeader, RequireEcho: true, AllowUnframed: true,
			Dial: s.dial(), Limiter: s.cfg.Connections,
		})
		s.pools[address] = p
	}
	return p
}

func (s *service) dial() func(context.Context, string) (net.Conn, error) {
	if s.cfg.Dial != nil {
		return s.cfg.Dial
	}
	return dial
}
