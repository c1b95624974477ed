package edge

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/upstreamconn"
	"github.com/bramleypick/bramleypick/quota"
)

// Config configures a Gateway.
type Config struct {
	// Zone is the availability zone of the gateway.
	Zone string
	// The functions of Protocol must not be nil.
	Protocol Protocol
	// RetryRatio, RetrySlack and RetryWindow limit the retries and hedges of each service over all gateways. In any
	// period of RetryWindow there may be at most RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// HedgeLimit is the number of hedges for each request of a service that operators accept, over all gateways; zero turns hedges
	// off. Nil means that hedges are limited only with the retries, and start after a delay from the mean service time.
	HedgeLimit *float64
	// LinkBitsPerSecond is the speed of the VM's network link. Zero means unknown.
	LinkBitsPerSecond float64
	// ColdFactor and ColdSlack limit the requests to a cold upstream over all gateways. In any second there may be at
	// most the service's warm-up rate times ColdFactor, plus ColdSlack.
	ColdFactor, ColdSlack float64
	// MaxPause limits the time for which an upstream can ask for a pause, so that one faulty response does not take an upstream out
	// of use for hours.
	MaxPause time.Duration
	// OnLeaving is called when a response says that an upstream leaves, which was not known. It must not block. Nil means that
	// nothing is called.
	OnLeaving func(upstream string, incarnation int64)
	// OnCold is called when an upstream that reports no load has turned cold, with its remaining warm-up time. It must not block.
	// Nil means that nothing is called.
	OnCold func(upstream string, incarnation int64, warmupLeft time.Duration)
	// ReuseConnections selects fewer new connections to upstreams, which cost more than health requests then: idle ones are kept
	// for as long as the upstreams state, and requests prefer upstreams to which there are some.
	ReuseConnections bool
	// QuotaBound is what operators accept beyond the limits of accounts over all gateways.
	QuotaBound quota.Bound
	// RequestTokens sends a request for tokens to the leader of the control group. The reply is passed to Gateway.ReceiveGrant,
	// possibly before RequestTokens returns. It must not block. It is called only if an account has a rate.
	RequestTokens func(quota.Request)
	// Clock returns the time since some fixed point, including suspensions of the VM. Nil means bootclock.Now.
	Clock func() time.Duration
	// Rollouts is set if the version of an upstream decides whether it gets requests; see routingstate.View.Versions.
	Rollouts bool
	// Connections limits the connections to all upstreams together. Nil means no limit.
	Connections *upstreamconn.Limiter
	// Dial opens connections to upstreams. Nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Metrics collects the gateway's metrics. If it is nil, New creates it.
	Metrics *Metrics
	// Log must not be nil.
	Log *zap.Logger
}

const (
	// retryMargin scales down RetryRatio and RetrySlack, because the gateways' windows start at other times than the
	// window to which the limit applies.
	retryMargin = 0.8
	// maxColdOwners is the number of gateways that may consider themselves the owner of a cold upstream at the same
	// time, while their views differ.
	maxColdOwners = 2
	// defaultTimeout applies to requests that have neither a deadline nor a route timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody is the limit of a request body in bytes if the configuration sets none.
	defaultMaxBody = 1 << 20
	// maxBufferedRequestBytes limits the total size of the request bodies that are being read, in bytes. Bodies of
	// unknown length do not count.
	maxBufferedRequestBytes = 32 << 20
	// maxBufferedResponse is the length in bytes up to which a response is buffered before it is forwarded, so that the
	// request can be retried if the response is truncated.
	maxBufferedResponse = 256 << 10
	// maxUnframedResponse limits the length of a response that does not declare one, in bytes, because a faulty upstream
	// may send without end.
	maxUnframedResponse = 64 << 20
	// maxSilence is the time without data after which a response is aborted if the request's deadline has passed.
	maxSilence = 250 * time.Millisecond
	// slowLink is the link speed in bit/s below which long responses are paced. At 50 Mbit/s a download of 90 KB takes
	// 14 ms.
	slowLink = 50e6
	// pacedShare is the share of a slow link that long responses may use together, so that short ones are not delayed.
	pacedShare = 0.75
	// pacedChunk is the size of the chunks in which a long response is sent on a slow link: 5 ms at 6.6 Mbit/s.
	pacedChunk = 4 << 10
	// maxBufferedResponseSlowLink replaces maxBufferedResponse on a slow link, where buffering a long response takes
	// 100 ms.
	maxBufferedResponseSlowLink = 16 << 10
	// upstreamReceiveBuffer is the size of the receive buffer of a connection to an upstream, in bytes. It limits how much of a
	// response an upstream can send before the gateway reads it: on a slow link this delays other responses, and while the client
	// does not read it takes memory.
	upstreamReceiveBuffer = 16 << 10
	// idleConnTimeout is the time after which idle connections to upstreams are closed. Most upstreams close them after
	// 10 s. With Config.ReuseConnections, it applies to upstreams that state no timeout.
	idleConnTimeout = 4 * time.Second
	// dialTimeout limits opening a connection to an upstream, which normally takes a round trip and about 1 ms.
	dialTimeout = 150 * time.Millisecond
	// assumedOpenFor is the time after its last exchange for which a connection is assumed to be open. Requests that
	// may run only once are not sent on connections that were idle for longer.
	assumedOpenFor = 100 * time.Millisecond
	// firstConfigWait is the time for which a request waits for the gateway's first configuration. On a VM with
	// 0.16 cores, the connections open and a configuration arrives within 300 ms. The wait is not longer than the
	// shortest latency target of a route, which is 250 ms.
	firstConfigWait = 250 * time.Millisecond
	// upstreamWaitShare is the share of the latency target for which a request waits for an upstream before it is
	// refused.
	upstreamWaitShare = 0.12
	// unresponsiveWaitShare replaces upstreamWaitShare while no upstream responds to probes.
	unresponsiveWaitShare = 0.5
	// pollInterval is the pause between a search that found no suitable upstream and the next one.
	pollInterval = 25 * time.Millisecond
	// maxPollInterval limits that pause, which doubles while no upstream responds to probes.
	maxPollInterval = 200 * time.Millisecond
	// retryAfter is sent to refused clients in the Retry-After header. It is a little longer than the shortest backoff
	// of an upstream, which is 250 ms.
	retryAfter = 300 * time.Millisecond
)
