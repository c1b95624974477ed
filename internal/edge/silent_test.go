package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// stallingUpstream responds to requests with a long body in chunks, with a pause before each of them.
type stallingUpstream struct {
	chunks int           // that it sends
	size   int           // bytes of a chunk
	length int           // bytes that it declares
	pause  time.Duration // before each chunk but the first
}

func (u *stallingUpstream) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := testID + ": " + r.Header.Get(testID) + "\r\n"
		if r.URL.Path == "/health" {
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+testUpstream+": a\r\n"+testLoad+": 0\r\n\r\n")
		} else {
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+id+"Content-Length: "+strconv.Itoa(u.length)+"\r\n\r\n")
			for i := 0; i < u.chunks && err == nil; i++ {
				if i > 0 {
					time.Sleep(u.pause)
				}
				_, err = io.WriteString(conn, strings.Repeat("x", u.size))
			}
		}
		if err != nil {
			return
		}
	}
}

// Guards against a request whose upstream falls silent in the middle of a long body and that ends only when its client gives up,
// and against aborting a response that still arrives after the deadline.
func TestSilentUpstreamInLongBody(t *testing.T) {
	const timeout = 5 * time.Second // of the routes of clusterState
	for _, test := range []struct {
		description string
		upstream    stallingUpstream
		complete    bool
	}{
		{"silent", stallingUpstream{chunks: 4, size: 100 << 10, length: 1 << 20, pause: 10 * time.Millisecond}, false},
		{"silent only until the deadline", stallingUpstream{chunks: 4, size: 128 << 10, length: 512 << 10, pause: timeout / 4}, true},
		{"slow beyond the deadline", stallingUpstream{chunks: 40, size: 16 << 10, length: 640 << 10, pause: 200 * time.Millisecond}, true},
	} {
		t.Run(test.description, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := newMemoryNetwork()
				g := network.gateway(clusterState(network.add("a", test.upstream.serve)))
				defer g.closeConnections()
				started := time.Now()
				w := send(t, g, "/download/1", nil)
				if test.complete {
					is.Equal(w.Code, http.StatusOK)
					is.Equal(w.Body.Len(), test.upstream.length)
					return
				}
				is.Equal(w.Code, 0) // the connection was aborted
				is.True(time.Since(started) >= timeout)
				is.True(time.Since(started) <= timeout+500*time.Millisecond)
			})
		})
	}
}
