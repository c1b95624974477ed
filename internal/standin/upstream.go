// Package standin provides test upstreams. A test upstream is an HTTP/1.1 server that simulates work in slots, follows the
// upstream contract of docs/design.md, announces itself to the entry VMs and injects faults. It records every execution, so
// that tests can detect duplicated and lost requests. It is not part of a release.
package standin

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Config configures one upstream.
type Config struct {
	// ID, Service and Zone are announced. Zone is the name of the availability zone.
	ID, Service, Zone string
	// Address is the IP:port that the upstream listens on and announces. With port 0 a free port is chosen at the first
	// start.
	Address string
	// AnnouncedAddress is the IP:port to announce if a proxy is in front of the upstream. Empty means Address.
	AnnouncedAddress string
	// Slots is the number of requests that execute concurrently, except in a cold start. Further requests wait, unless
	// Behaviour rejects or fails them.
	Slots int
	// MaxConnections is the connection limit to announce; the upstream does not enforce it. Zero means 300.
	MaxConnections int
	// Entries are the caller addresses of the entry VMs that receive the announcements. If it is empty, the upstream does not
	// announce itself.
	Entries   []string
	Behaviour Behaviour
	// Seed initialises the random number generator, so that a run is reproducible.
	Seed uint64
}

const defaultMaxConnections = 300

// Upstream is one test upstream.
type Upstream struct {
	cfg        Config
	executions *ExecutionRecorder
	simulator  *workSimulator
	announcer  *announcer

	mu           sync.Mutex
	bootID       string
	address      string
	server       *http.Server // nil while the upstream is down
	conns        map[net.Conn]*connState
	closed       bool
	restartTimer *time.Timer
}

// connState is the state of one accepted connection.
type connState struct {
	frozen chan struct{} // closed when the connection stops responding
}

// New returns an upstream that is not started. Several upstreams may share a recorder.
func New(cfg Config, recorder *ExecutionRecorder) *Upstream {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	u := &Upstream{cfg: cfg, executions: recorder, simulator: newWorkSimulator(cfg.Slots, cfg.Behaviour, cfg.Seed), address: cfg.Address}
	u.announcer = newAnnouncer(u)
	return u
}

// Start starts the server and the announcements with a new boot id.
func (u *Upstream) Start() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || u.server != nil {
		return errors.Errorf("upstream %s is closed or already started", u.cfg.ID)
	}
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	u.address = listener.Addr().String() // keeps the port across restarts
	u.bootID = rand.Text()
	u.conns = map[net.Conn]*connState{}
	u.simulator.beginColdStart()
	server := &http.Server{Handler: u, ConnState: u.trackConn, ConnContext: u.connContext}
	u.server = server
	go server.Serve(listener)
	u.announcer.start()
	return nil
}

// Address returns the address the upstream listens on.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address
}

// Close stops the upstream permanently.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.closed = true
	if u.restartTimer != nil {
		u.restartTimer.Stop()
	}
	u.mu.Unlock()
	u.stop()
}

// Crash closes the listener and all connections immediately. The upstream restarts with a new boot id after its down time.
func (u *Upstream) Crash() {
	if !u.stop() {
		return
	}
	u.simulator.updateCounts(func(c *workCounts) { c.Crashes++ })
	down := millis(u.simulator.currentBehaviour().CrashDownMS)
	if down == 0 {
		down = defaultCrashDown
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.closed {
		u.restartTimer = time.AfterFunc(down, u.restart)
	}
}

// restart starts the upstream again. If that fails, for example because the port is in use, it retries after
// defaultCrashDown.
func (u *Upstream) restart() {
	if err := u.Start(); err == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.closed && u.server == nil {
		u.restartTimer = time.AfterFunc(defaultCrashDown, u.restart)
	}
}

// stop stops announcing and closes the listener and all connections. It reports whether the upstream was running.
func (u *Upstream) stop() bool {
	u.mu.Lock()
	server := u.server
	u.server = nil
	u.mu.Unlock()
	if server == nil {
		return false
	}
	u.announcer.stop()
	server.Close()
	return true
}

// BeginColdStart begins a new cold start. Unless newBootID is set, it keeps the boot id, as a misbehaving upstream might.
func (u *Upstream) BeginColdStart(newBootID bool) {
	u.simulator.beginColdStart()
	if newBootID {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.bootID = rand.Text()
	}
}

// Freeze makes all open connections permanently unresponsive. New connections are not affected.
func (u *Upstream) Freeze() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, state := range u.conns {
		select {
		case <-state.frozen:
		default:
			close(state.frozen)
		}
	}
}

// SetBehaviour applies a JSON object with the Behaviour fields to change.
func (u *Upstream) SetBehaviour(patch []byte) error {
	b, err := u.simulator.currentBehaviour().Patch(patch)
	if err != nil {
		return err
	}
	u.simulator.setBehaviour(b)
	return nil
}

// connKey is the context key of a request's *connState.
type connKey struct{}

func (u *Upstream) connContext(ctx context.Context, c net.Conn) context.Context {
	u.mu.Lock()
	defer u.mu.Unlock()
	state := &connState{frozen: make(chan struct{})}
	u.conns[c] = state
	return context.WithValue(ctx, connKey{}, state)
}

// trackConn counts the open connections and removes the state of closed ones.
func (u *Upstream) trackConn(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		u.simulator.updateCounts(func(c *workCounts) {
			c.ConnectionsOpen++
			c.MaxConnections = max(c.MaxConnections, c.ConnectionsOpen)
		})
	case http.StateClosed, http.StateHijacked:
		u.simulator.updateCounts(func(c *workCounts) { c.ConnectionsOpen-- })
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, c)
	}
}

func (u *Upstream) currentBootID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bootID
}
