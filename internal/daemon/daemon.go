package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/controlclient"
	"github.com/bramleypick/bramleypick/internal/gateway"
	"github.com/bramleypick/bramleypick/internal/keys"
	"github.com/bramleypick/bramleypick/internal/peernet"
	"github.com/bramleypick/bramleypick/internal/settings"
)

const (
	headerReadTimeout = 10 * time.Second
	// callerIdleTimeout bounds how long a caller's connection may be idle. It exceeds the usual idle timeouts of HTTP
	// clients, so that the client closes the connection first and does not send a request on one that the server is
	// closing.
	callerIdleTimeout = 5 * time.Minute
)

// Daemon is one process of an entry VM.
type Daemon struct {
	settings          settings.Settings
	log               *zap.Logger
	metrics           metrics.Registry
	network           *peernet.Network
	replica           *replica // Nil without the control role.
	client            *controlclient.Client
	session           *controlclient.Session
	gateway           *gateway.Gateway
	upstreamRegistry  *upstreamRegistry
	handover          *handover
	loadReporter      *loadReporter
	callerServer      *http.Server
	operatorServer    *http.Server
	connectionCloser  connectionCloser
	forwardedInFlight atomic.Int64 // Requests forwarded by peers that are being served.

	listeners []net.Listener
	ready     chan struct{} // Closed once New has created every component, so that peers' calls can be served.

	stopRenewals context.CancelFunc
	renewals     sync.WaitGroup
}

// New provisions a daemon, starts its control replica if it has one, and opens its listeners. The settings must be
// valid. The HTTP servers and the background tasks start in Run.
func New(s settings.Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, metrics: metrics.NewRegistry(), ready: make(chan struct{})}
	token, err := os.ReadFile(s.OperatorTokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "read operator token file")
	}
	if strings.TrimSpace(string(token)) == "" {
		return nil, errors.Errorf("operator token file %s is empty", s.OperatorTokenFile)
	}
	if err := d.openNetwork(); err != nil {
		return nil, err
	}
	if err := d.provision(strings.TrimSpace(string(token))); err != nil {
		d.close()
		return nil, err
	}
	close(d.ready)
	return d, nil
}

func (d *Daemon) openNetwork() error {
	s := d.settings
	tlsConfig, err := keys.Load(s.TLS.CAFile, s.TLS.CertFile, s.TLS.KeyFile, nil)
	if err != nil {
		return err
	}
	peers := make(map[string]string, len(s.Peers))
	for _, p := range s.Peers {
		peers[p.Name] = p.PeerAddress
	}
	d.network, err = peernet.Listen(peernet.Config{
		Name: s.Name, Address: s.PeerAddress, TLS: tlsConfig, Peers: peers, Log: d.log.Named("peernet"),
	}, waitingHandler{ready: d.ready, handler: peerHandler{d}})
	return err
}

// provision creates the components in dependency order.
func (d *Daemon) provision(token string) error {
	if d.settings.HasRole(settings.RoleControl) {
		if err := d.startReplica(); err != nil {
			return err
		}
	}
	transport := callTransport{name: d.settings.Name, network: d.network, handler: peerHandler{d}}
	d.client = controlclient.New(transport, controlReplicaNames(d.settings))
	d.session = d.newSession()
	view := d.session.View
	d.upstreamRegistry = newUpstreamRegistry(d.client, transport, d.session.Lease(), view, d.log.Named("upstreams"))
	if err := d.newGateway(); err != nil {
		return err
	}
	d.upstreamRegistry.inFlight = func(upstreamID string) int { return remainingRequests(d.gateway.Status(), upstreamID) }
	d.handover = newHandover(d.client, d.session.Lease(), d.gateway.Status, d.log.Named("handover"))
	d.handover.pending = func() bool { return hasPendingHandover(view(), d.session.Lease().SessionID()) }
	d.loadReporter = &loadReporter{
		network: d.network, lease: d.session.Lease(), view: view, freeSlots: d.gateway.FreeSlots, lastSent: make(map[string]sentReport),
	}
	return d.listen(token)
}

func (d *Daemon) newSession() *controlclient.Session {
	s := d.settings
	return controlclient.NewSession(controlclient.SessionConfig{
		Client: d.client,
		Gateway: controlstate.OpenSession{
			Gateway: s.Name, Zone: s.Zone, CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
		},
		RenewInterval: time.Duration(s.RenewIntervalMillis) * time.Millisecond,
		SetView:       func(v *controlstate.View) { d.gateway.SetView(v) },
		Busy:          func() []busyUpstream { return busyUpstreams(d.gateway.Status()) },
		Log:           d.log.Named("session"),
	})
}

func (d *Daemon) newGateway() error {
	var err error
	d.gateway, err = gateway.New(gateway.Config{}, gateway.Dependencies{
		Claims:        controlclient.NewClaims(d.client),
		Lease:         d.session.Lease(),
		NewPool:       gateway.NewUpstreamPool,
		Forwarder:     forwarder{network: d.network, view: d.session.View},
		CrashReporter: crashReporter{client: d.client, log: d.log.Named("crashes")},
		Metrics:       d.metrics,
		Log:           d.log.Named("gateway"),
	})
	return errors.Wrap(err, "create gateway")
}

func (d *Daemon) listen(token string) error {
	callerHandler := api.NewCallerHandler(callerBackend{view: d.session.View, upstreams: d.upstreamRegistry}, d.gateway)
	operatorHandler := api.NewOperatorHandler(operatorBackend{client: d.client, view: d.session.View, metrics: d.metrics}, token)
	d.callerServer = d.newServer(d.connectionCloser.wrap(callerHandler))
	d.operatorServer = d.newServer(operatorHandler)
	for _, address := range []string{d.settings.CallerAddress, d.settings.OperatorAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "open TCP listener")
		}
		d.listeners = append(d.listeners, l)
	}
	d.listeners[0] = newLimitListener(d.listeners[0], d.settings.Limits.MaxCallerConnections)
	return nil
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    d.settings.Limits.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(d.log.Named("http")),
	}
}

// Run serves until ctx is cancelled and then shuts down gracefully. It returns an error if the control replica or a
// server fails, or if the graceful shutdown does not complete within its timeout.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	background, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer d.renewals.Wait()
	defer wg.Wait()
	defer d.closeServers()
	defer cancel()
	for _, task := range d.backgroundTasks() {
		wg.Go(func() { task(background) })
	}
	renewing, endRenewals := context.WithCancel(background)
	d.stopRenewals = endRenewals
	d.renewals.Go(func() { d.session.Run(renewing) })
	serveErrors := make(chan error, 2)
	wg.Go(func() { serveErrors <- d.callerServer.Serve(d.listeners[0]) })
	wg.Go(func() { serveErrors <- d.operatorServer.Serve(d.listeners[1]) })
	d.log.Info("serving", zap.String("callers", d.settings.CallerAddress), zap.String("operators", d.settings.OperatorAddress))
	select {
	case <-ctx.Done():
		return d.shutdown()
	case err := <-d.replicaFailed():
		d.log.Error("control replica failed", zap.Error(err))
		return errors.Wrap(err, "control replica")
	case err := <-serveErrors:
		return errors.Wrap(err, "serve HTTP")
	}
}

// backgroundTasks returns the tasks that run until shutdown, each in a goroutine of its own.
func (d *Daemon) backgroundTasks() []func(context.Context) {
	tasks := []func(context.Context){d.upstreamRegistry.run, d.handover.run, d.loadReporter.run}
	if d.replica != nil {
		tasks = append(tasks, d.replica.server.Run)
	}
	return tasks
}

// replicaFailed returns a channel that receives the error of a failed control replica. It is nil without the control
// role.
func (d *Daemon) replicaFailed() <-chan error {
	if d.replica == nil {
		return nil
	}
	return d.replica.node.Failed()
}

// close releases the resources that New opened. It is safe to call after shutdown.
func (d *Daemon) close() {
	d.closeServers()
	for _, l := range d.listeners {
		l.Close()
	}
	if d.replica != nil {
		if err := d.replica.stop(); err != nil {
			d.log.Error("failed to stop the control replica", zap.Error(err))
		}
	}
	d.network.Close()
}

func (d *Daemon) closeServers() {
	for _, server := range []*http.Server{d.callerServer, d.operatorServer} {
		if server != nil {
			server.Close()
		}
	}
}

// controlReplicaNames returns the names of the VMs with a control replica. The local replica comes first if there is
// one.
func controlReplicaNames(s settings.Settings) []string {
	var names []string
	for _, name := range replicaNames(s) {
		if name == s.Name {
			names = append([]string{name}, names...)
		} else {
			names = append(names, name)
		}
	}
	return names
}
