package upstreamconn

import (
	"context"
	"net"
	"time"
)

// Options configure a Pool.
type Options struct {
	// MaxConnections limits the open connections, busy and idle. Zero means the default of 300.
	MaxConnections int
	// DialTimeout limits the time to open a connection. Zero means the default of 1 s.
	DialTimeout time.Duration
	// IdleLimit is how long an idle connection is kept open. Zero means the default of 30 s.
	IdleLimit time.Duration
	// FollowKeepAlive replaces IdleLimit by the timeout that the last response of the upstream states in its Keep-Alive header, if
	// any, minus a margin. While the upstream drops idle connections without notice, they are reused only for a short time.
	FollowKeepAlive bool
	// OnDropped is called when the upstream is found to drop idle connections, with the time for which one was idle. It must not
	// block. Nil means that nothing is called.
	OnDropped func(idle time.Duration)
	// MaxHeaderBytes limits the size of a response header, in bytes. Zero means the default of 64 KiB.
	MaxHeaderBytes int
	// MaxHeaderLines limits the lines of a response header, including those of interim responses. Zero means the default of 2,048.
	MaxHeaderLines int
	// Limiter limits the connections of several pools together. Nil means no limit.
	Limiter *Limiter
	// RequestIDHeader is the name of the header with the request id, which a response may echo. Empty means
	// DefaultRequestIDHeader.
	RequestIDHeader string
	// RequireEcho rejects a response that does not carry the same request id as the request, or none if that has none. If it is false, a missing id is accepted and only a different id
	// is rejected. It is needed if an upstream may send a second response to a health check: that response carries no id, and
	// may arrive in place of the response to the next request.
	RequireEcho bool
	// AllowUnframed accepts responses whose body is delimited by the orderly close of the connection. A connection reset does
	// not delimit a body.
	AllowUnframed bool
	// Dial opens a connection. Nil means net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Defaults of Options.
const (
	DefaultMaxConnections = 300
	DefaultDialTimeout    = time.Second
	DefaultIdleLimit      = 30 * time.Second
	DefaultMaxHeaderBytes = 64 << 10
	// DefaultMaxHeaderLines is far above the lines of any usual response, some tens.
	DefaultMaxHeaderLines = 2048

	DefaultRequestIDHeader = "Bramleypick-Request-Id"
)

func (o Options) withDefaults() Options {
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleLimit == 0 {
		o.IdleLimit = DefaultIdleLimit
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if o.MaxHeaderLines == 0 {
		o.MaxHeaderLines = DefaultMaxHeaderLines
	}
	if o.RequestIDHeader == "" {
		o.RequestIDHeader = DefaultRequestIDHeader
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return o
}
