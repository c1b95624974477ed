package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/balancing"
)

// endlessUpstream responds with a beginning and then repeats a text until the gateway closes the connection.
type endlessUpstream struct {
	beginning, repeated string
	// onHealthCheck selects whether health checks or requests get that response.
	onHealthCheck bool
	requests      atomic.Int32
	sent          atomic.Int64 // bytes that the gateway accepted
	closed        atomic.Int32 // connections that the gateway closed
}

func (u *endlessUpstream) serve(conn net.Conn) {
	defer u.closed.Add(1)
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		isHealthCheck := r.URL.Path == "/health"
		if !isHealthCheck {
			u.requests.Add(1)
		}
		if isHealthCheck != u.onHealthCheck {
			text := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + testUpstream + ": a\r\n" + testLoad + ": 0\r\n"
			if id := r.Header.Get(testID); id != "" {
				text += testID + ": " + id + "\r\n"
			}
			if _, err := io.WriteString(conn, text+"\r\n"); err != nil {
				return
			}
			continue
		}
		text := strings.ReplaceAll(u.beginning, "ID", testID+": "+r.Header.Get(testID))
		for chunk := strings.Repeat(u.repeated, max(1, 4096/len(u.repeated))); err == nil; text = chunk {
			var n int
			n, err = io.WriteString(conn, text)
			u.sent.Add(int64(n))
		}
		return
	}
}

// Guards against an upstream whose response has no end: the gateway must close the connection after a bounded number of
// bytes, must not present the response as a success, must respond at once, and must not repeat a request that may have run.
func TestEndlessResponses(t *testing.T) {
	const (
		ok = "HTTP/1.1 200 OK\r\nID\r\n"
		// maxHead covers the header limit and the buffers.
		maxHead = 96 << 10
		// maxSmall covers the buffers and the limits of net/http for chunk headers.
		maxSmall = maxBufferedResponse + 96<<10
		maxLong  = maxUnframedResponse + 96<<10
	)
	for _, test := range []struct {
		description, beginning, repeated string
		maxBytes                         int64
		// forwarded reports whether the client has received a part of the response before it is aborted.
		forwarded bool
	}{
		{"status line", "HTTP/1.1 200 ", "O", maxHead, false},
		{"no HTTP", "x", "y", maxHead, false},
		{"header field", ok + "X: ", "x", maxHead, false},
		{"header fields", ok, "X: x\r\n", maxHead, false},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHead, false},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0", maxSmall, false},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n5;", "x", maxSmall, false},
		{"chunk extensions", ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n", maxSmall, false},
		{"trailer field", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x", maxSmall, false},
		{"trailer fields", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n", maxSmall, false},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "800\r\n" + strings.Repeat("x", 2048) + "\r\n", 2 * maxLong, true},
		{"no length", ok + "\r\n", "x", maxLong, true},
	} {
		for _, path := range []string{"/idempotent/1", "/once/1"} {
			t.Run(test.description+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					network := newMemoryNetwork()
					u := &endlessUpstream{beginning: test.beginning, repeated: test.repeated}
					g := network.gateway(clusterState(network.add("a", u.serve)))
					defer g.closeConnections()
					w := send(t, g, path, nil)
					if test.forwarded {
						is.Equal(w.Code, 0) // the connection was aborted
					} else {
						is.Equal(w.Code, http.StatusBadGateway)
					}
					synctest.Wait()
					is.Equal(u.requests.Load(), int32(1))
					is.True(u.sent.Load() <= test.maxBytes)
					is.Equal(u.closed.Load(), int32(1))
					s := g.service("s")
					s.mu.Lock()
					defer s.mu.Unlock()
					for _, c := range s.balancer.Rank(balancing.Requirements{Zone: "z"}, time.Now()) {
						is.True(c.Suspect) // it is used last
					}
				})
			})
		}
	}
}

// Guards against a health response without an end that keeps a connection open, and against using its upstream.
func TestEndlessHealthResponse(t *testing.T) {
	for _, beginning := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", "HTTP/1.1 200 OK\r\nX: ",
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			network := newMemoryNetwork()
			u := &endlessUpstream{beginning: beginning, repeated: "x", onHealthCheck: true}
			g := network.gateway(clusterState(network.add("a", u.serve)))
			defer g.closeConnections()
			is.Equal(send(t, g, "/idempotent/1", nil).Code, http.StatusServiceUnavailable)
			synctest.Wait()
			is.Equal(u.requests.Load(), int32(0))
			is.True(u.closed.Load() >= 1)
			is.True(u.sent.Load() <= int64(u.closed.Load())*(96<<10))
		})
	}
}
