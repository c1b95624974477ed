package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/upstreamconn"
)

// displaceWait is how long a request waits for the connection to an upstream that a displaced client leaves. It takes microseconds.
const displaceWait = 100 * time.Millisecond

// slowClient is what the server's http.ResponseWriter knows of the client.
type slowClient interface {
	// UnreadFor returns how long a response has been waiting to be read by the client.
	UnreadFor(now time.Time) time.Duration
	// Displace closes the connection of a client that takes too long to read, and reports whether it did.
	Displace(now time.Time) bool
}

// unbuffered is a response that is forwarded while it arrives, and that keeps its connection to the upstream until the client has read it.
type unbuffered struct {
	client  slowClient
	address string        // of the upstream
	ended   chan struct{} // closed once the connection to the upstream is idle or closed
}

// unbufferedResponses are those of all services. It is safe for concurrent use.
type unbufferedResponses struct {
	mu  sync.Mutex
	all map[*unbuffered]struct{}
}

func newUnbufferedResponses() *unbufferedResponses {
	return &unbufferedResponses{all: make(map[*unbuffered]struct{})}
}

// add records that a response from an upstream is forwarded to w. The caller calls ended once it no longer uses the connection to the
// upstream.
func (u *unbufferedResponses) add(w http.ResponseWriter, address string) (ended func()) {
	client, ok := w.(slowClient)
	if !ok {
		return func() {}
	}
	response := &unbuffered{client, address, make(chan struct{})}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.all[response] = struct{}{}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.all, response)
		close(response.ended)
	}
}

// displace closes the connection of the client that has not read for longest, among those with a response from the upstream at an address, or
// from any upstream if the address is empty. It returns a channel that is closed once the connection to the upstream is free, or nil if
// no client takes too long.
func (u *unbufferedResponses) displace(address string, now time.Time) (free <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var longest *unbuffered
	var unread time.Duration
	for response := range u.all {
		if address != "" && response.address != address {
			continue
		}
		if d := response.client.UnreadFor(now); d > unread {
			longest, unread = response, d
		}
	}
	if longest == nil || !longest.client.Displace(now) {
		return nil
	}
	return longest.ended
}

// connect is like Pool.ConnectWithin. At a limit of connections, it gives the request the connection of a response that its client does
// not read.
func (s *service) connect(ctx context.Context, pool *upstreamconn.Pool, address string, maxIdle time.Duration, requestID string) (*upstreamconn.Conn, error) {
	conn, err := pool.ConnectWithin(ctx, maxIdle, requestID)
	if !errors.Is(err, upstreamconn.ErrMaxConnections) {
		return conn, err
	}
	if errors.Is(err, upstreamconn.ErrLimiter) {
		address = "" // the connection to any upstream will do
	}
	free := s.unbuffered.displace(address, time.Now())
	if free == nil {
		return nil, err
	}
	timer := time.NewTimer(displaceWait)
	defer timer.Stop()
	select {
	case <-free:
	case <-timer.C:
	case <-ctx.Done():
	}
	return pool.ConnectWithin(ctx, maxIdle, requestID)
}
