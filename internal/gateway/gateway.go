// Package gateway is the data path: it accepts a caller's request, schedules it on an upstream that this gateway owns or
// forwards it to a peer gateway, and returns the complete response.
//
// It starts upstream work only under a valid lease and only on upstreams that the current view assigns to it, and
// checks both again immediately before the first byte. The baseline policies, which serve for measurements, use all
// upstreams of a service regardless of their owners. Result codes 1xxx are used only if no byte of the request can
// have reached an upstream, or if the upstream stated that it did not start the request. A request of a class that is
// not idempotent is sent at most once per idempotency key.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
)

// Gateway serves callers as an http.Handler. It is safe for concurrent use.
type Gateway struct {
	cfg     Config
	deps    Dependencies
	log     *zap.Logger
	metrics *instruments
	handle  handler

	// snapshot is the current view, indexed for request handling.
	snapshot      atomic.Pointer[snapshot]
	bufferedBytes atomic.Int64
	nextID        atomic.Uint64

	viewMu   sync.Mutex // Guards services and serializes SetView.
	services map[string]*service

	mu           sync.Mutex // Guards shuttingDown and requests.
	shuttingDown bool
	requests     int
	idle         chan struct{} // Closed once shuttingDown is set and requests is zero.

	// background counts the claim commands and crash reports that outlive their requests.
	background      sync.WaitGroup
	backgroundSlots chan struct{}
}

// maxBackgroundTasks bounds the claim commands and crash reports that outlive their requests.
const maxBackgroundTasks = 256

// New returns a gateway without a view. It rejects every request until SetView is called.
func New(cfg Config, deps Dependencies) (*Gateway, error) {
	if deps.Claims == nil || deps.Lease == nil || deps.NewPool == nil {
		return nil, errors.New("gateway: Claims, Lease and NewPool are required")
	}
	if deps.Log == nil {
		deps.Log = zap.NewNop()
	}
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewRegistry()
	}
	if deps.Rand == nil {
		deps.Rand = rand.IntN
	}
	cfg = cfg.withDefaults()
	g := &Gateway{
		cfg: cfg, deps: deps, log: deps.Log, metrics: newInstruments(deps.Metrics, cfg.MaxSeries),
		services: make(map[string]*service), idle: make(chan struct{}),
		backgroundSlots: make(chan struct{}, maxBackgroundTasks),
	}
	g.nextID.Store(rand.Uint64())
	g.snapshot.Store(&snapshot{view: &controlstate.View{}})
	g.handle = g.chain()
	return g, nil
}

// ServeHTTP serves one request of a caller or, if the hop header is set, of a peer gateway.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, start: time.Now()}
	_ = g.handle(c) // The outermost handler has already sent every error to the caller.
}

// SetView makes v the current view. A view with a lower index or configuration version than the current one is
// ignored.
func (g *Gateway) SetView(v *controlstate.View) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	current := g.snapshot.Load()
	if v.Index < current.view.Index || v.ConfigVersion < current.view.ConfigVersion {
		g.log.Info("ignoring a view that is older than the current one", zap.Uint64("index", v.Index), zap.Uint64("config_version", v.ConfigVersion),
			zap.Uint64("current_index", current.view.Index), zap.Uint64("current_config_version", current.view.ConfigVersion))
		return
	}
	next := g.newSnapshot(v, current)
	for name, sv := range next.services {
		if g.services[name] == nil {
			g.services[name] = newService(g, name, sv)
		}
		sv.service = g.services[name]
	}
	g.snapshot.Store(next)
	for name, s := range g.services {
		s.setView(next.services[name], next.session)
	}
	current.closePools(next)
	current.deleteCrashGuardState(next)
}

// applySessionChange applies the current view again if the session has changed since. The view that assigns upstreams to
// a new session may arrive before the gateway's lease has that session.
func (g *Gateway) applySessionChange() {
	if current := g.snapshot.Load(); current.session != g.deps.Lease.SessionID() {
		g.SetView(current.view)
	}
}

// SetPeerFreeSlots records a peer's report of its free slots of a service.
func (g *Gateway) SetPeerFreeSlots(service string, sessionID uint64, freeSlots int) {
	if sv := g.snapshot.Load().services[service]; sv != nil {
		sv.service.send(event{kind: eventPeerFreeSlots, session: sessionID, freeSlots: freeSlots})
	}
}

// Shutdown rejects new requests with ShuttingDown and waits for those in flight and for their claim commands and crash
// reports. Call it after the upstreams of this gateway have been handed over. If ctx ends first, Shutdown returns its
// error and the requests continue.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.mu.Lock()
	if !g.shuttingDown {
		g.shuttingDown = true
		if g.requests == 0 {
			close(g.idle)
		}
	}
	g.mu.Unlock()
	if err := wait(ctx, g.idle); err != nil {
		return errors.Wrap(err, "wait for requests in flight")
	}
	backgroundDone := make(chan struct{})
	go func() {
		g.background.Wait()
		close(backgroundDone)
	}()
	if err := wait(ctx, backgroundDone); err != nil {
		return errors.Wrap(err, "wait for claim commands and crash reports")
	}
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	for _, s := range g.services {
		s.close()
	}
	g.snapshot.Load().closePools(nil)
	return nil
}

func wait(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginRequest counts a new request. It returns false while the gateway is shutting down.
func (g *Gateway) beginRequest() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shuttingDown {
		return false
	}
	g.requests++
	return true
}

func (g *Gateway) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests--
	if g.shuttingDown && g.requests == 0 {
		close(g.idle)
	}
}

// runInBackground runs f on a goroutine that may outlive the request, or synchronously if maxBackgroundTasks are
// already running.
func (g *Gateway) runInBackground(f func()) {
	select {
	case g.backgroundSlots <- struct{}{}:
	default:
		f()
		return
	}
	g.background.Add(1)
	go func() {
		defer func() {
			<-g.backgroundSlots
			g.background.Done()
		}()
		f()
	}()
}
