package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/upstreamconn"
)

// upstreamPool adapts upstreamconn.Pool.
type upstreamPool struct {
	pool *upstreamconn.Pool
}

// upstreamConn adapts upstreamconn.Conn.
type upstreamConn struct {
	conn *upstreamconn.Conn
}

// dialRefusedKey is the context key of an atomic.Bool that records whether a dial was refused. It is needed because
// errors.Is does not match the cause of an error of upstreamconn, and because only a refusal, not a timeout, shows that
// no process listens on the address any more.
type dialRefusedKey struct{}

// NewUpstreamPool returns the connection pool of one upstream. It is the usual value of Dependencies.NewPool.
func NewUpstreamPool(address string, maxConnections int) Pool {
	return upstreamPool{upstreamconn.NewPool(address, upstreamconn.Options{MaxConnections: maxConnections, Dial: dial})}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if refused, ok := ctx.Value(dialRefusedKey{}).(*atomic.Bool); ok && errors.Is(err, syscall.ECONNREFUSED) {
		refused.Store(true)
	}
	return conn, err
}

// Connect implements Pool.
func (p upstreamPool) Connect(ctx context.Context, forceNew bool) (Conn, error) {
	var refused atomic.Bool
	conn, err := p.pool.Connect(context.WithValue(ctx, dialRefusedKey{}, &refused), forceNew)
	switch {
	case err == nil:
		return upstreamConn{conn}, nil
	case refused.Load():
		return nil, errors.Wrap(syscall.ECONNREFUSED, err.Error())
	default:
		return nil, err
	}
}

// Close implements Pool.
func (p upstreamPool) Close() { p.pool.Close() }

// Exchange implements Conn.
func (c upstreamConn) Exchange(ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
	resp, outcome, err := c.conn.Exchange(ctx, r)
	return resp, ExchangeOutcome{BytesWritten: outcome.BytesWritten, Reused: outcome.Reused}, err
}

// Release implements Conn.
func (c upstreamConn) Release() { c.conn.Release() }
