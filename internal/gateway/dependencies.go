package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
)

// ClaimStore commits claims of non-idempotent requests through the control group. An error that is a *resultcode.Error
// with the code UnknownClaim, ClaimOutcomeUnknown, ClaimMismatch or MalformedRequest means that the control group
// rejected the command. After any other error the outcome of the command is unknown.
type ClaimStore interface {
	// Begin returns one of these codes in Result.Code: OK (granted, or already recorded if Result.RecordedResponse is
	// set), ClaimRunning, ClaimOutcomeUnknown, ClaimMismatch, ClaimExpired, UnknownSession, UnknownUpstream,
	// StaleEpoch or MalformedRequest.
	Begin(ctx context.Context, c controlstate.BeginClaim) (controlstate.Result, error)
	// Finish ends a claim and records the response, or that the outcome is unknown.
	Finish(ctx context.Context, c controlstate.FinishClaim) error
	// Release ends a claim under which nothing ran.
	Release(ctx context.Context, c controlstate.ReleaseClaim) error
}

// Lease is the session lease of this gateway.
type Lease interface {
	// Valid reports whether the gateway may start upstream work at the time now.
	Valid(now time.Time) bool
	// SessionID returns the current session, or 0.
	SessionID() uint64
}

// ErrNotForwarded is returned by a Forwarder that could not reach the peer and sent no byte of the request.
var ErrNotForwarded = errors.New("gateway: not forwarded")

// Forwarder sends a request to a peer gateway. The peer does not forward it again.
type Forwarder interface {
	Forward(ctx context.Context, sessionID uint64, r *http.Request) (*http.Response, error)
}

// CrashReporter reports a request that was running when an upstream was lost. It may block until ctx ends.
type CrashReporter interface {
	Report(ctx context.Context, service, fingerprint, upstreamID, bootID string)
}

// Pool holds the connections to one upstream.
type Pool interface {
	// Connect returns a connection. If forceNew is true, it was opened for this call and has never been used.
	Connect(ctx context.Context, forceNew bool) (Conn, error)
	// Close closes the idle connections. Those in use are closed when they are returned to the pool.
	Close()
}

// Conn is a connection that carries one exchange.
type Conn interface {
	// Exchange sends r and returns the response once its header has arrived. The connection is closed if the response
	// body is closed before its end, if ctx ends, or on an error.
	Exchange(ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error)
	// Release returns the connection to the pool without an exchange.
	Release()
}

// ExchangeOutcome describes how far an exchange got.
type ExchangeOutcome struct {
	// BytesWritten counts the bytes that may have reached the upstream. Zero guarantees that none did.
	BytesWritten int64
	// Reused is true if the connection had been idle in the pool.
	Reused bool
}

// Dependencies are the components that the gateway uses. Lease, Claims and NewPool are required.
type Dependencies struct {
	Claims ClaimStore
	Lease  Lease
	// NewPool creates the pool of one upstream. maxConnections is the upstream's own limit.
	NewPool func(address string, maxConnections int) Pool
	// Forwarder is nil if requests are never forwarded.
	Forwarder Forwarder
	// CrashReporter is nil if lost upstreams are not reported.
	CrashReporter CrashReporter
	// OnDrained is called when a stopping or moving upstream of this gateway has no requests in flight, once per epoch
	// and cause. It runs on the scheduler goroutine and must not block.
	OnDrained func(DrainedUpstream)
	// Metrics is the registry for the gateway's metrics; nil means a private one.
	Metrics metrics.Registry
	// Log is the logger; nil disables logging.
	Log *zap.Logger
	// Rand returns a random number in [0, n); nil uses math/rand/v2.
	Rand func(n int) int
}

// DrainedUpstream identifies an upstream that has no requests in flight and gets no new ones.
type DrainedUpstream struct {
	Service    string
	UpstreamID string
	Epoch      uint64
	// MovingTo is the session that is to take over the upstream, or 0 for a planned stop.
	MovingTo uint64
}
