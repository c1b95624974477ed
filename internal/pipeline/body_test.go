package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/internal/bodybuffer"
	"github.com/bramleypick/bramleypick/internal/clientbudget"
)

// Guards against large uploads that keep out requests with small bodies.
func TestSmallBodiesFitBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	s := &Server{MaxBodyBytes: 1 << 20, MaxBufferedBytes: 4 << 20, Budget: clientbudget.New(0), Bodies: &bodybuffer.Pool{}}
	s.group = s.Budget.NewGroup(0, 1)
	newReader := func() *bodyReader {
		client, raw := net.Pipe()
		client.Close()
		c := newConn(s, raw)
		is.True(c.open())
		c.body.limit = s.MaxBodyBytes
		return &c.body
	}
	for range 3 {
		is.NoErr(newReader().reserve(1 << 20))
	}
	is.Equal(newReader().reserve(1<<20), errBodiesTooLarge)
	small := newReader()
	is.NoErr(small.reserve(smallBody))
	body, err := newReader().read(strings.NewReader("small"), -1)
	is.NoErr(err)
	data, err := io.ReadAll(body.NewReader())
	is.NoErr(err)
	is.Equal(string(data), "small")
	small.release()
}

// Guards against a process that runs out of memory because many large bodies arrive at the same time: what does not fit must be
// refused at once and not reach the handler, and the room must be available again afterwards.
func TestBodiesInFlightAreLimited(t *testing.T) {
	const size = 1 << 20
	for description, header := range map[string]string{
		"declared length": fmt.Sprintf("Content-Length: %d\r\n", size), "expectation": fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", size),
		"chunked": "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(description, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			var handled, refused atomic.Int32
			s := &Server{
				IdleTimeout: time.Minute, ReadTimeout: time.Minute, MaxHeaderBytes: 1 << 20, MaxBodyBytes: 4 * size, MaxBufferedBytes: 5 * size,
				OnBodyRefused: func(*http.Request) { refused.Add(1) },
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					handled.Add(1)
					n, err := io.Copy(io.Discard, r.Body)
					is.NoErr(err)
					is.Equal(n, int64(size))
					<-release
				}),
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go s.Serve(l)
			defer s.Close()
			statuses := make(chan int, 20)
			post := func() {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				body := strings.Repeat("x", size)
				if strings.Contains(header, "chunked") {
					body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
				}
				go io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n"+body)
				in := bufio.NewReader(c)
				resp, err := http.ReadResponse(in, nil)
				if err == nil && resp.StatusCode == http.StatusContinue {
					resp, err = http.ReadResponse(in, nil)
				}
				if err != nil {
					t.Error(err)
					statuses <- 0
					return
				}
				if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
					t.Error("the refusal has no Retry-After")
				}
				statuses <- resp.StatusCode
			}
			const requests = 12
			for range requests {
				go post()
			}
			counts := map[int]int{}
			for range requests - 5 { // at least these do not fit, and are refused while the others are held
				counts[<-statuses]++
			}
			is.Equal(counts[http.StatusServiceUnavailable], requests-5)
			is.True(handled.Load() <= 5)
			close(release)
			for range 5 {
				counts[<-statuses]++
			}
			is.Equal(int(handled.Load()), counts[http.StatusOK])
			is.Equal(int(refused.Load()), counts[http.StatusServiceUnavailable])
			is.True(counts[http.StatusOK] > 0)
			for deadline := time.Now().Add(5 * time.Second); s.bodies.used.Load() != 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d bytes are still reserved", s.bodies.used.Load())
				}
			}
			go post()
			is.Equal(<-statuses, http.StatusOK)
		})
	}
}
