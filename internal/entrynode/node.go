package entrynode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/crashguard"
	"github.com/bramleypick/bramleypick/internal/bodybuffer"
	"github.com/bramleypick/bramleypick/internal/clientbudget"
	"github.com/bramleypick/bramleypick/internal/cluster"
	"github.com/bramleypick/bramleypick/internal/edge"
	"github.com/bramleypick/bramleypick/internal/pipeline"
	"github.com/bramleypick/bramleypick/internal/socketbuffer"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
	"github.com/bramleypick/bramleypick/overload"
	"github.com/bramleypick/bramleypick/placement"
	"github.com/bramleypick/bramleypick/quota"
	"github.com/bramleypick/bramleypick/roster"
)

const (
	// minRefreshInterval bounds how often changes of the cluster are applied to the data path. maxRefreshInterval
	// bounds the delay of changes without a signal, such as the end of a warm-up; the settings are reloaded at the same
	// interval.
	minRefreshInterval = 20 * time.Millisecond
	maxRefreshInterval = time.Second
	// reportInterval is the time between two reports of failing upstreams and of request limits to the other processes.
	// Every process receives the reports of all others at this interval. Where upstreams are busiest, a failing one gets 5
	// requests per second, which is about one per interval.
	reportInterval = 250 * time.Millisecond
	// minSenders is the number of gateways without a replica from which on request limits are not divided among the others,
	// to which clients are not directed then.
	minSenders = 2
	// maxUpstreamPause limits the time for which an upstream can ask for a pause. It is longer than the recovery of any upstream
	// should take; one that starts anew is used at once.
	maxUpstreamPause = 10 * time.Minute
	// readTimeout bounds the time for reading a request on the entry address, except for a body that keeps arriving. It is
	// longer than the usual routing.Limits.HeaderTimeoutMillis, which is 3 s and is not applied.
	readTimeout = 10 * time.Second
	// idleTimeout is how long an idle client connection is kept open. Clients may reuse a connection that was idle for
	// 12 s.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request header.
	maxHeaderBytes = 64 << 10
	// maxBodyBytes bounds a request body regardless of the configuration, because bodies are buffered in memory. It is the usual
	// routing.Limits.MaxBodyBytes.
	maxBodyBytes = 64 << 20
	// serveFraction is the fraction of the grace period after SIGTERM during which connections are still accepted, for
	// clients whose cached addresses include this process.
	serveFraction = 0.62
	// stragglerTime is how long most clients may still use this process after SIGTERM: twice the time for which they cache
	// its address, because some exceed that time.
	stragglerTime = 2 * addressTTL
)

// Adapter implements the external interfaces of a Node: protocol, API handlers and settings.
type Adapter interface {
	// Protocol returns the protocol on top of HTTP that clients and upstreams use.
	Protocol() edge.Protocol
	// Handlers returns the handlers for the control, directory and ready addresses.
	Handlers(n *Node) (control, directory, ready http.Handler)
	// Reload rereads the settings. It is called every second.
	Reload() (Settings, error)
}

// Node is the process of an entry VM. Run may be called once; the other methods are safe for concurrent use.
type Node struct {
	settings atomic.Pointer[Settings]
	adapter  Adapter
	log      *zap.Logger
	cluster  *cluster.Cluster
	gateway  *edge.Gateway
	metrics  *edge.Metrics
	leaving  atomic.Bool
	// budget limits what clients make the process hold.
	budget *clientbudget.Budget
	// bodies keeps the memory of request bodies for further ones.
	bodies bodybuffer.Pool
	// decoding has an element while a large body of the API is decoded.
	decoding chan struct{}
	// upstreams limits the connections to upstreams; nil means no limit.
	upstreams *upstreamconn.Limiter
	// resourcesLoggedAt is the time of the last log line about refused clients; nil before the first.
	resourcesLoggedAt atomic.Pointer[time.Time]
	// observations are those that are not yet shared.
	observations chan observation
	// appliedRevision is the revision last passed to the gateway. Only refresh uses it.
	appliedRevision cluster.Revision
}

// New returns a Node; Run starts it.
func New(s Settings, a Adapter, log *zap.Logger) *Node {
	n := &Node{
		adapter: a, log: log, metrics: edge.NewMetrics(), observations: make(chan observation, maxObservations),
		budget: clientbudget.New(s.clientMemory()), upstreams: s.upstreamLimiter(), decoding: make(chan struct{}, 1),
	}
	n.settings.Store(&s)
	n.cluster = cluster.New(cluster.Config{
		Self: roster.Node{
			IP: s.IP, Incarnation: time.Now().UnixMilli(), Name: s.Name, Zone: s.Zone,
			ClientAddress: s.EntryAddress, ControlAddress: s.ControlAddress, PeerAddress: s.PeerAddress,
		},
		Seeds:   func() []string { return append([]string(nil), n.settings.Load().SeedPeers...) },
		DataDir: s.DataDir, AllowBootstrap: s.FirstStart, LinkLimits: s.linkLimits(), MaxUpstreams: s.maxUpstreams(), Log: log.Named("cluster"),
		OnFailures: func(counts map[string]int) { n.gateway.RecordReportedFailures(counts, time.Now()) },
		OnLimits:   func(limits map[string]float64) { n.gateway.RecordReportedLimits(limits, time.Now()) },
		QuotaBound: s.quotaBound(), OnGrant: func(grant quota.Grant) { n.gateway.ReceiveGrant(grant) },
		OnOverload:     func(reports map[string]overload.Report) { n.gateway.RecordReportedOverload(reports, time.Now()) },
		CrashRecords:   func() map[string]crashguard.Record { return n.gateway.CrashRecords() },
		OnCrashRecords: func(records map[string]crashguard.Record) { n.gateway.MergeCrashRecords(records) },
		Rollouts:       s.rolloutConfig(),
	})
	n.gateway = edge.New(edge.Config{
		Zone: s.Zone, Protocol: a.Protocol(), RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		ColdFactor: s.ColdFactor, ColdSlack: s.ColdSlack, MaxPause: maxUpstreamPause, Rollouts: s.Rollouts,
		OnLeaving: func(upstream string, incarnation int64) {
			n.queueObservation(observation{upstream, incarnation, time.Time{}})
		},
		OnCold: func(upstream string, incarnation int64, left time.Duration) {
			n.queueObservation(observation{upstream, incarnation, time.Now().Add(left)})
		},
		QuotaBound: s.quotaBound(), RequestTokens: n.cluster.RequestTokens,
		HedgeLimit: s.HedgeLimit, ReuseConnections: s.ReuseConnections, LinkBitsPerSecond: s.LinkBitsPerSecond,
		Connections: n.upstreams,
		Metrics:     n.metrics, Log: log.Named("edge"),
	})
	return n
}

// Run serves until ctx ends and then shuts down gracefully. It returns an error if an address cannot be served or the
// disk fails.
func (n *Node) Run(ctx context.Context) error {
	s := n.settings.Load()
	n.log.Info("starting", zap.String("entry", s.EntryAddress), zap.Bool("disk", s.DataDir != ""), zap.Bool("first_start", s.FirstStart))
	running, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	var tasks sync.WaitGroup
	tasks.Go(func() {
		if err := n.cluster.Run(running); err != nil {
			cancel(err)
		}
	})
	tasks.Go(func() { n.refresh(running) })
	tasks.Go(func() { n.reload(running) })
	tasks.Go(func() { n.shareReports(running) })
	tasks.Go(func() { n.shareObservations(running) })
	tasks.Go(func() { n.gateway.WatchCold(running) })
	control, directory, ready := n.adapter.Handlers(n)
	entry := n.entryServer()
	servers := []*pipeline.Server{
		entry, n.apiServer(control, controlFileShare), n.apiServer(directory, directoryFileShare), n.apiServer(ready, statusFileShare),
		n.apiServer(n.metricsHandler(), statusFileShare),
	}
	for i, address := range []string{s.EntryAddress, s.ControlAddress, s.DirectoryAddress, s.ReadyAddress, s.MetricsAddress} {
		if address == "" {
			continue
		}
		// Idle connections are ended by timeouts. TCP keep-alive would cost four more system calls per client
		// connection.
		listen := net.ListenConfig{KeepAlive: -1, Control: socketbuffer.Limit(clientReceiveBuffer)}
		listener, err := listen.Listen(ctx, "tcp", address)
		if err != nil {
			cancel(err)
			tasks.Wait()
			return errors.Wrap(err, "listen")
		}
		defer servers[i].Close()
		go func() {
			if err := servers[i].Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				cancel(err)
			}
		}()
	}
	select {
	case <-ctx.Done():
		n.shutdown(running, entry)
	case <-running.Done():
	}
	cause := context.Cause(running)
	cancel(nil)
	tasks.Wait()
	n.log.Info("stopped", zap.NamedError("cause", cause))
	return cause
}

// shutdown removes this process from the directory, serves clients that still use it, and waits for requests in flight.
func (n *Node) shutdown(ctx context.Context, entry *pipeline.Server) {
	startedAt, grace := time.Now(), n.settings.Load().ShutdownGrace
	n.log.Info("stopping", zap.Duration("grace", grace))
	n.leaving.Store(true)
	n.cluster.SetState(roster.Leaving)
	plan := edge.NewStopPlan(startedAt, grace, stragglerTime)
	n.gateway.Stop(plan)
	select {
	case <-time.After(time.Duration(serveFraction * float64(grace))):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithDeadline(ctx, plan.CloseAt)
	defer cancel()
	if err := entry.Shutdown(ctx); err != nil {
		n.log.Warn("requests still in flight at the end of the grace period", zap.Error(err))
	}
}

// refresh applies changes of the cluster to the data path until ctx ends.
func (n *Node) refresh(ctx context.Context) {
	for {
		n.updateGateway()
		select {
		case <-n.cluster.Changed():
		case <-time.After(maxRefreshInterval):
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(minRefreshInterval):
		case <-ctx.Done():
			return
		}
	}
}

// shareReports reports failing upstreams, request limits, the outcomes of running rollouts and overload to the other processes until
// ctx ends.
func (n *Node) shareReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if counts := n.gateway.TakeFailures(); len(counts) > 0 {
			n.cluster.ShareFailures(counts)
		}
		if limits := n.gateway.TakeLimits(); len(limits) > 0 {
			n.cluster.ShareLimits(limits)
		}
		n.shareRollout()
		if reports := n.gateway.TakeOverload(time.Now()); len(reports) > 0 {
			n.cluster.ShareOverload(reports)
		}
	}
}

// updateGateway passes the state of the cluster to the gateway if it changed since the last call. Recomputing the
// routing takes 1 to 3 ms on a VM with 0.16 cores.
func (n *Node) updateGateway() {
	revision := n.cluster.Revision() // read before the state, so that the next call sees a concurrent change
	if revision == n.appliedRevision {
		return
	}
	n.appliedRevision = revision
	var gateways, senders []placement.Member
	for _, node := range n.cluster.Nodes() {
		if node.State != roster.Serving {
			continue
		}
		member := placement.Member{Name: node.IP, Zone: node.Zone}
		gateways = append(gateways, member)
		if node.ReplicaID == 0 {
			senders = append(senders, member)
		}
	}
	if len(senders) < minSenders {
		senders = gateways
	}
	self := n.cluster.Self()
	n.gateway.Update(edge.ClusterState{
		View: n.cluster.View(), Upstreams: n.cluster.Upstreams(), Gateways: gateways, Senders: senders,
		Self: self.IP, Connected: n.cluster.Connected(),
	}, time.Now())
	if n.gateway.Ready() && self.State == roster.Starting {
		n.log.Info("ready")
		n.cluster.SetState(roster.Serving)
	}
}
