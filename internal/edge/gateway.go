package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/internal/asynclog"
	"github.com/bramleypick/bramleypick/placement"
	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/routing"
	"github.com/bramleypick/bramleypick/routingstate"
)

// Gateway forwards requests of clients to upstreams. It implements http.Handler and is safe for concurrent use.
type Gateway struct {
	cfg    Config
	routes atomic.Pointer[routeConfig]
	// configured is closed when the first configuration has arrived.
	configured chan struct{}
	// stopPlan is nil until the start of a graceful shutdown.
	stopPlan atomic.Pointer[StopPlan]
	// finished is closed at the end of the stop plan.
	finished             chan struct{}
	bufferedRequestBytes atomic.Int64
	pacer                *pacer
	failures             *failureReports
	crashes              *crashes
	limits               *limitReports
	quotas               *quotas
	unbuffered           *unbufferedResponses
	// logBudget limits the log lines of requests that succeeded at the first attempt.
	logBudget asynclog.Budget

	mu       sync.Mutex
	services map[string]*service
	// serviceByUpstream holds the service of each upstream that may get requests, by upstream id.
	serviceByUpstream map[string]*service
	view              *routingstate.View
	// admissionConfig is the configuration for which the services have or lack an admission. admits reports whether any has one.
	admissionConfig *routing.Config
	admits          atomic.Bool
	// coldOwners assigns each upstream to the gateway that may send to it while it is cold.
	coldOwners *placement.Owners
	// limitSenders selects the gateways that may send to an upstream while it names a request limit.
	limitSenders *placement.Senders
	// zoneGateways holds the gateways of the own zone. Only with Config.ReuseConnections.
	zoneGateways *placement.Senders
}

// New returns a gateway that refuses all requests until Update provides a configuration.
func New(cfg Config) *Gateway {
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	failures := newFailureReports()
	return &Gateway{
		cfg: cfg, configured: make(chan struct{}), finished: make(chan struct{}), services: make(map[string]*service), pacer: newPacer(cfg.LinkBitsPerSecond),
		failures: failures, crashes: newCrashes(cfg, failures), limits: newLimitReports(), quotas: newQuotas(cfg), unbuffered: newUnbufferedResponses(),
		coldOwners: placement.NewOwners(), limitSenders: placement.NewSenders(), zoneGateways: placement.NewSenders(),
	}
}

// ClusterState is the state of the cluster that a gateway works with.
type ClusterState struct {
	View      *routingstate.View
	Upstreams []registry.Entry
	// Gateways are the live gateways. Limits over all gateways are divided among them.
	Gateways []placement.Member
	// Senders are those of the gateways that clients use in normal operation. Request limits are divided among them.
	Senders []placement.Member
	// Self is the name of this gateway in Gateways.
	Self string
	// Connected is false while this gateway may be partitioned from the others. It then sends nothing to cold
	// upstreams, and keeps its former part of the request limits.
	Connected bool
}

// Update replaces the cluster state. A state whose view has no configuration is ignored.
func (g *Gateway) Update(state ClusterState, now time.Time) {
	if state.View.Config == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view == nil {
		defer close(g.configured)
	}
	g.updateRoutes(state.View)
	g.quotas.update(state.View.Config, state.Self, max(1, len(state.Gateways)))
	byService := make(map[string][]balancing.Upstream)
	incarnations := make(map[string]int64, len(state.Upstreams))
	g.coldOwners.Update(state.Gateways)
	if state.Connected {
		g.limitSenders.Update(state.Senders)
	}
	preferred := g.preferredUpstreams(state)
	var versions versionPolicy // treats all versions alike
	if g.cfg.Rollouts {
		versions = newVersionPolicy(state)
	}
	for _, e := range state.Upstreams {
		if e.State != registry.Ready {
			continue
		}
		use := versions.use(e)
		if use.omit {
			continue
		}
		evacuated := state.View.Evacuated[e.Zone]
		if !evacuated {
			incarnations[e.ID] = e.Incarnation
		}
		byService[e.Service] = append(byService[e.Service], balancing.Upstream{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Incarnation: e.Incarnation, Slots: e.Slots,
			Version: uint8(use.version), Withheld: use.withheld, Evacuated: evacuated, Affinity: placement.Score(e.ID, state.Self),
			ColdUntil: now.Add(e.WarmupLeft), Preferred: preferred(e),
			ColdOwner: func() bool {
				return state.Connected && g.coldOwners.Owner(placement.Key{Name: e.ID, Zone: e.Zone}) == state.Self
			},
			IsSender: func(senders int) bool { return g.limitSenders.IsSender(e.ID, state.Self, senders) },
		})
	}
	g.serviceByUpstream = make(map[string]*service, len(state.Upstreams))
	for i := range state.View.Config.Services {
		c := &state.View.Config.Services[i]
		s := g.services[c.Name]
		if s == nil {
			s = newService(g, c.Name)
			g.services[c.Name] = s
		}
		for _, u := range byService[c.Name] {
			g.serviceByUpstream[u.ID] = s
		}
		s.setRollout(versions.running(c.Name))
		s.update(c, byService[c.Name], max(1, len(state.Gateways)), g.limitSenders.Len(), now)
	}
	g.updateAdmission(state.View.Config)
	g.crashes.observe(incarnations, now)
	g.dropRemovedServices(state.View.Config)
}

// dropRemovedServices releases the state of services that the configuration no longer has. Requests in flight keep
// theirs.
func (g *Gateway) dropRemovedServices(config *routing.Config) {
	configured := make(map[string]bool, len(config.Services))
	for i := range config.Services {
		configured[config.Services[i].Name] = true
	}
	for name, s := range g.services {
		if !configured[name] {
			s.close()
			delete(g.services, name)
		}
	}
}

func (g *Gateway) updateRoutes(view *routingstate.View) {
	if g.view != nil && g.view.Config == view.Config {
		g.view = view
		return
	}
	g.view = view
	config := &routeConfig{
		version: view.Config.Version, table: routing.NewTable(view.Config), maxBody: view.Config.Limits.MaxBodyBytes,
		splitters: make(map[*routing.Route]*routing.Splitter),
	}
	if view.Config.RequireKey {
		config.accounts = routing.NewAccountIndex(view.Config)
	}
	if config.maxBody <= 0 {
		config.maxBody = defaultMaxBody
	}
	names := make(map[string]bool, len(view.Config.Routes))
	for i := range view.Config.Routes {
		r := &view.Config.Routes[i]
		names[r.Name] = true
		if len(r.Split) > 0 {
			config.splitters[r] = routing.NewSplitter(r)
		}
	}
	for _, s := range g.services {
		s.retainRoutes(names)
	}
	g.routes.Store(config)
}

// Ready reports whether the gateway has a configuration and is not shutting down.
func (g *Gateway) Ready() bool { return g.routes.Load() != nil && g.stopPlan.Load() == nil }

// Stop starts a graceful shutdown. From now on, responses close the clients' connections, so that clients connect to another
// gateway. Requests that the plan does not accept are refused, and those that are still running at its end get a response
// that says so. It must be called only once.
func (g *Gateway) Stop(plan StopPlan) {
	g.stopPlan.Store(&plan)
	time.AfterFunc(time.Until(plan.FinishBy), func() { close(g.finished) })
}

func (g *Gateway) service(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[name]
}
