package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/registry"
)

// memoryNetwork connects a gateway to upstreams without sockets, so that a test can run in a synctest bubble, where the
// scheduling of a busy machine takes no time.
type memoryNetwork struct {
	// servers serve the connections to an address.
	servers map[string]func(net.Conn)
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{servers: make(map[string]func(net.Conn))}
}

func (n *memoryNetwork) dial(_ context.Context, address string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		n.servers[address](server)
	}()
	return client, nil
}

// add adds an upstream whose connections serve handles, and returns its registration.
func (n *memoryNetwork) add(id string, serve func(net.Conn)) registry.Entry {
	address := id + ":80"
	n.servers[address] = serve
	return registry.Entry{ID: id, Service: "s", Address: address, Zone: "z", Slots: 3, State: registry.Ready, Incarnation: 1}
}

// gateway returns a gateway of this network with the given state.
func (n *memoryNetwork) gateway(state ClusterState) *Gateway {
	cfg := testConfig(0, zap.NewNop())
	cfg.Dial = n.dial
	g := New(cfg)
	g.Update(state, time.Now())
	return g
}

// serveHTTP returns a server that handles the requests of a connection one after the other.
func serveHTTP(handler http.Handler) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, r)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			resp := recorder.Result()
			resp.ContentLength = int64(recorder.Body.Len())
			if resp.Write(conn) != nil {
				return
			}
		}
	}
}

// neverRespond reads requests and does not respond.
func neverRespond(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// closeConnections closes the connections of a gateway once its goroutines wait, so that those of its upstreams end.
func (g *Gateway) closeConnections() {
	synctest.Wait()
	for _, s := range g.services {
		s.close()
	}
	synctest.Wait()
}
