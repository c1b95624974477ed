package upstreamconn

import (
	"context"
	"net"
	"time"
)

// Options configure a Pool.
type Options struct {
	// MaxConnections bounds the open connections, busy and idle. Default 300; zero means the default.
	MaxConnections int
	// DialTimeout bounds the opening of a connection. Default 1 s; zero means the default.
	DialTimeout time.Duration
	// IdleLimit is how long an idle connection is kept. Default 30 s; zero means the default.
	IdleLimit time.Duration
	// MaxHeaderBytes bounds the header of a response, in bytes. Default 64 KiB; zero means the default.
	MaxHeaderBytes int
	// RequestIDHeader names the header of the request's id, which a response may echo. Default DefaultRequestIDHeader.
	RequestIDHeader string
	// RequireEcho refuses a response without the request's id. Without it a missing id is accepted and only a wrong one refused.
	// It is needed where upstreams may send a late second response, which for a health check carries no id.
	RequireEcho bool
	// AllowUnframed accepts responses whose end is the orderly end of the connection. A connection that is reset is not one.
	AllowUnframed bool
	// Dial opens a connection. Default net.Dialer; nil means the default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Defaults of Options.
const (
	DefaultMaxConnections = 300
	DefaultDialTimeout    = time.Second
	DefaultIdleLimit      = 30 * time.Second
	DefaultMaxHeaderBytes = 64 << 10

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
