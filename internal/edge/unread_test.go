package edge

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
)

// stalledClient is the http.ResponseWriter of a client that does not read any of a long response.
type stalledClient struct {
	*httptest.ResponseRecorder
	unread time.Duration
	closed chan struct{}
}

// Write implements io.Writer.
func (c *stalledClient) Write([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

func (c *stalledClient) UnreadFor(time.Time) time.Duration { return c.unread }

func (c *stalledClient) Displace(time.Time) bool {
	slow := c.unread > time.Second
	if slow {
		close(c.closed)
	}
	return slow
}

// download requests a long response.
func (c *stalledClient) download(g *Gateway) {
	r := httptest.NewRequest(http.MethodGet, "http://h/download/1", nil)
	r.RequestURI = r.URL.Path
	r.Header.Set(testID, "download")
	defer func() { _ = recover() }() // the connection is aborted
	g.ServeHTTP(c, r)
}

// gatewayWithDownloads returns a gateway with one upstream, whose response to /download/1 is not buffered.
func gatewayWithDownloads(maxConnections int, limiter *upstreamconn.Limiter) *Gateway {
	network := newMemoryNetwork()
	u := &fakeUpstream{id: "a", respond: func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/download/1" {
			w.Write(make([]byte, 2*maxBufferedResponse))
			return
		}
		succeed(w, r)
	}}
	state := clusterState(network.add("a", serveHTTP(u)))
	state.View.Config.Services[0].MaxConnections = maxConnections
	cfg := testConfig(0, zap.NewNop())
	cfg.Dial, cfg.Connections = network.dial, limiter
	g := New(cfg)
	g.Update(state, time.Now())
	return g
}

// Guards against responses that clients do not read and that keep the connections to upstreams from other requests, and against
// closing the connections of clients that read.
func TestUnreadResponseGivesItsConnectionUp(t *testing.T) {
	for _, test := range []struct {
		description    string
		maxConnections int // to the upstream
		limiter        *upstreamconn.Limiter
		unread         []time.Duration
		status         int
		displaced      []bool
	}{
		{"connections of the upstream", 2, nil, []time.Duration{2 * time.Second, 3 * time.Second}, http.StatusOK, []bool{false, true}},
		{"connections of all upstreams", 0, upstreamconn.NewLimiter(2), []time.Duration{3 * time.Second, 2 * time.Second}, http.StatusOK, []bool{true, false}},
		{"clients that read", 2, nil, []time.Duration{0, time.Millisecond}, http.StatusServiceUnavailable, []bool{false, false}},
	} {
		t.Run(test.description, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := gatewayWithDownloads(test.maxConnections, test.limiter)
				defer g.closeConnections()
				var clients []*stalledClient
				for _, unread := range test.unread {
					c := &stalledClient{httptest.NewRecorder(), unread, make(chan struct{})}
					clients = append(clients, c)
					go c.download(g)
					synctest.Wait()
				}
				is.Equal(send(t, g, "/idempotent/1", nil).Code, test.status)
				for i, c := range clients {
					select {
					case <-c.closed:
						is.True(test.displaced[i])
					default:
						is.True(!test.displaced[i])
						close(c.closed)
					}
				}
			})
		})
	}
}

// Guards against an upstream that gets no requests because the gateway had no connection for a health request.
func TestHealthRequestWithoutAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := gatewayWithDownloads(1, nil)
		defer g.closeConnections()
		client := &stalledClient{httptest.NewRecorder(), 0, make(chan struct{})}
		go client.download(g)
		synctest.Wait()
		g.services["s"].probe(t.Context(), balancing.Candidate{ID: "a", Address: "a:80", Zone: "z"})
		close(client.closed)
		synctest.Wait()
		started := time.Now()
		is.Equal(send(t, g, "/idempotent/1", nil).Code, http.StatusOK)
		is.Equal(time.Since(started), time.Duration(0))
	})
}
