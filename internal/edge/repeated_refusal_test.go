package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// repeatingUpstream refuses the first request. It writes that refusal once more before the response to the next request on the
// same connection, which it runs.
type repeatingUpstream struct {
	refusal string // ID stands for the header with the id of the refused request
	ran     atomic.Int32
}

func (u *repeatingUpstream) serve(conn net.Conn, refuses *atomic.Bool) {
	reader := bufio.NewReader(conn)
	repeated := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := testID + ": " + r.Header.Get(testID) + "\r\n"
		var response string
		switch {
		case r.URL.Path == "/health":
			response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + testLoad + ": 0\r\n\r\n"
		case refuses.CompareAndSwap(true, false):
			response = u.refusal + id + "\r\n"
			repeated = response
		default:
			u.ran.Add(1)
			response = repeated + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + id + "\r\n"
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// Guards against a request that is reported as not run, or is sent to another upstream, because the upstream that runs it has
// written its earlier refusal once more.
func TestRepeatedRefusal(t *testing.T) {
	for _, test := range []struct {
		description, refusal string
		sameRequest          bool // the refused request is sent again, to the upstream that has taken over the address
	}{
		{"before the response to another request", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + testNotRun + ": 1\r\n", false},
		{"before the response to the same request", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n", true},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			u := &repeatingUpstream{refusal: test.refusal}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			var refuses atomic.Bool
			refuses.Store(true)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						u.serve(conn, &refuses)
					}()
				}
			}()
			a := newUpstream(t, "a", succeed).entry()
			a.Address = l.Addr().String()
			state := clusterState(a)
			if test.sameRequest {
				b := a
				b.ID = "b"
				state = clusterState(a, b)
			}
			g := newGateway(t, state)
			for i, id := range []string{"id1", "id2"} {
				before := u.ran.Load()
				w := send(t, g, "/once/1", func(r *http.Request) { r.Header.Set(testID, id) })
				ran := u.ran.Load() - before
				is.True(ran <= 1)
				if w.Code == http.StatusServiceUnavailable {
					is.Equal(ran, int32(0)) // the refusal says that the request did not run
				}
				if test.sameRequest && i == 0 {
					is.Equal(w.Code, http.StatusOK)
				}
			}
		})
	}
}
