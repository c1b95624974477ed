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

// Gateway serves clients. It implements http.Handler.
type Gateway struct {
	cfg      Config
	state    atomic.Pointer[state]
	closing  atomic.Bool
	buffered atomic.Int64
	bulk     *bulk
	// logBudget bounds the lines about requests that were answered at the first try.
	logBudget asynclog.Budget

	mu       sync.Mutex
	services map[string]*service
	view     *routingstate.View
}

// New returns a gateway that refuses everything until Update.
func New(cfg Config) *Gateway {
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	return &Gateway{cfg: cfg, services: make(map[string]*service), bulk: newBulk(cfg.LinkBitsPerSecond)}
}

// World is what a gateway must know besides its configuration.
type World struct {
	View      *routingstate.View
	Upstreams []registry.Entry
	// Gateways are the names of the live gateways by zone. They share what is bounded over all gateways.
	Gateways []placement.Member
	// Self is this gateway's name among them.
	Self string
	// InTouch is false while this gateway may be cut off from the others; it then sends nothing to cold upstreams.
	InTouch bool
}

// Update takes over a newer state of the world.
func (g *Gateway) Update(w World, now time.Time) {
	if w.View.Config == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateRoutes(w.View)
	byService := make(map[string][]balancing.Upstream)
	for _, e := range w.Upstreams {
		if e.State != registry.Ready || w.View.Evacuated[e.Zone] {
			continue
		}
		byService[e.Service] = append(byService[e.Service], balancing.Upstream{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Born: e.Born, Slots: e.Slots,
			ColdUntil: now.Add(e.WarmupLeft), ColdShare: w.InTouch && ownsCold(e, w),
		})
	}
	for i := range w.View.Config.Services {
		c := &w.View.Config.Services[i]
		s := g.services[c.Name]
		if s == nil {
			s = newService(g.cfg, c.Name, g.bulk)
			g.services[c.Name] = s
		}
		s.update(c, byService[c.Name], max(1, len(w.Gateways)), now)
	}
}

func (g *Gateway) updateRoutes(v *routingstate.View) {
	if g.view != nil && g.view.Config == v.Config {
		g.view = v
		return
	}
	g.view = v
	s := &state{
		version: v.Config.Version, table: routing.NewTable(v.Config), maxBody: v.Config.Limits.MaxBodyBytes,
		splitters: make(map[*routing.Route]*routing.Splitter),
	}
	if s.maxBody <= 0 {
		s.maxBody = defaultMaxBody
	}
	for i := range v.Config.Routes {
		if r := &v.Config.Routes[i]; len(r.Split) > 0 {
			s.splitters[r] = routing.NewSplitter(r)
		}
	}
	g.state.Store(s)
}

// ownsCold tells whether this gateway is the one that may send to the upstream while it is cold: the first by rendezvous
// among the gateways of the upstream's zone, or of all zones if that has none.
func ownsCold(e registry.Entry, w World) bool {
	best, bestScore, local := "", uint64(0), false
	for _, m := range w.Gateways {
		score := placement.Score(e.ID, m.Name)
		isLocal := m.Zone == e.Zone
		if best == "" || isLocal && !local || isLocal == local && score > bestScore {
			best, bestScore, local = m.Name, score, isLocal
		}
	}
	return best == w.Self
}

// Ready tells whether the gateway has a configuration and is not stopping.
func (g *Gateway) Ready() bool { return g.state.Load() != nil && !g.closing.Load() }

// Close makes responses ask clients to open new connections elsewhere. Requests are still served.
func (g *Gateway) Close() { g.closing.Store(true) }

func (g *Gateway) service(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[name]
}
