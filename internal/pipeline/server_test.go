package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// start starts a server with handler h on loopback and returns it with a client connection.
func start(t *testing.T, h http.HandlerFunc) (*Server, net.Conn) {
	t.Helper()
	is := is.New(t)
	s := &Server{Handler: h, IdleTimeout: time.Minute, ReadTimeout: time.Minute, MaxHeaderBytes: 4 << 10, MaxBodyBytes: 100}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() {
		c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		is.NoErr(s.Shutdown(ctx))
		is.Equal(<-served, http.ErrServerClosed)
	})
	return s, c
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// readResponse returns the status, the body and whether the response announces the close of the connection.
func readResponse(t *testing.T, in *bufio.Reader) (status int, body string, closes bool) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	is.New(t).NoErr(err)
	data, err := io.ReadAll(resp.Body)
	is.New(t).NoErr(err)
	return resp.StatusCode, string(data), resp.Close
}

// Guards against requests that wait for the response to an earlier one, and against responses out of request order. The first
// handler returns only after the second one has started.
func TestPipelinedRequestsRunConcurrentlyAndRespondInOrder(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	_, c := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			<-second
		case "/2":
			close(second)
		}
		io.WriteString(w, r.URL.Path)
	})
	_, err := io.WriteString(c, get("/1")+get("/2")+get("/3"))
	is.NoErr(err)
	in := bufio.NewReader(c)
	for _, want := range []string{"/1", "/2", "/3"} {
		status, body, closes := readResponse(t, in)
		is.Equal(status, 200)
		is.Equal(body, want)
		is.True(!closes)
	}
}

// Guards against an accepted request that gets no response because an earlier response closes the connection.
func TestConnectionClosesAfterLastAcceptedRequest(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	_, c := start(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		if r.URL.Path == "/1" {
			<-second
		} else {
			close(second)
		}
		io.WriteString(w, r.URL.Path)
	})
	_, err := io.WriteString(c, get("/1")+get("/2"))
	is.NoErr(err)
	in := bufio.NewReader(c)
	_, body, closes := readResponse(t, in)
	is.Equal(body, "/1")
	is.True(!closes)
	_, body, closes = readResponse(t, in)
	is.Equal(body, "/2")
	is.True(closes)
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against handlers that continue after the client closed a connection with several pipelined requests.
func TestContextEndsWhenClientDisconnects(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	_, c := start(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
		panic(http.ErrAbortHandler)
	})
	_, err := io.WriteString(c, get("/1")+get("/2"))
	is.NoErr(err)
	<-started
	<-started
	c.Close()
	<-ended
	<-ended
}

// Guards against requests that run on although the client has left, if the connection was to end with them. Data that the client
// sends after its last request must not hide that.
func TestContextEndsWhenClientLeavesAfterItsLastRequest(t *testing.T) {
	last := strings.Replace(get("/last"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	for description, sent := range map[string]string{
		"one request": last, "after another request": get("/1") + last, "HTTP/1.0": "GET / HTTP/1.0\r\n\r\n", "further data": last + "GET",
	} {
		t.Run(description, func(t *testing.T) {
			is := is.New(t)
			requests := strings.Count(sent, "HTTP/1.")
			started, ended := make(chan struct{}, requests), make(chan struct{}, requests)
			_, c := start(t, func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
				ended <- struct{}{}
				panic(http.ErrAbortHandler)
			})
			_, err := io.WriteString(c, sent)
			is.NoErr(err)
			for range requests {
				<-started
			}
			c.Close()
			for range requests {
				select {
				case <-ended:
				case <-time.After(5 * time.Second):
					t.Fatal("the request runs on after the client has left")
				}
			}
		})
	}
}

// Guards against a truncated response that looks complete to the client.
func TestIncompleteResponseIsAborted(t *testing.T) {
	for _, test := range []struct {
		description string
		handler     http.HandlerFunc
	}{
		{"shorter than declared", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			io.WriteString(w, "short")
		}},
		{"aborted during a body of unknown length", func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.Repeat("x", 8<<10))
			panic(http.ErrAbortHandler)
		}},
		{"aborted before the response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			_, c := start(t, test.handler)
			_, err := io.WriteString(c, get("/"))
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			is.True(err != nil)
		})
	}
}

// Guards against invalid requests that reach the handler or get no response.
func TestInvalidRequests(t *testing.T) {
	for _, test := range []struct {
		description, input string
		status             int
	}{
		{"not HTTP", "hello\r\n\r\n", 400},
		{"missing Host header", "GET / HTTP/1.1\r\n\r\n", 400},
		{"header too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", 431},
		{"body too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), 413},
		{"conflicting lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			handled := make(chan struct{}, 1)
			_, c := start(t, func(http.ResponseWriter, *http.Request) { handled <- struct{}{} })
			_, err := io.WriteString(c, test.input)
			is.NoErr(err)
			status, _, closes := readResponse(t, bufio.NewReader(c))
			is.Equal(status, test.status)
			is.True(closes)
			is.Equal(len(handled), 0)
		})
	}
}

// Guards against bodies that reach the handler incomplete, and against a client that never receives 100 Continue.
func TestBodies(t *testing.T) {
	for _, test := range []struct{ description, header, sent, interim string }{
		{"content length", "Content-Length: 5\r\n", "hello", ""},
		{"chunked", "Transfer-Encoding: chunked\r\n", "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", ""},
		{"Expect: 100-continue", "Content-Length: 5\r\nExpect: 100-continue\r\n", "hello", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			_, c := start(t, func(w http.ResponseWriter, r *http.Request) {
				data, err := io.ReadAll(r.Body)
				if err == nil {
					w.Write(data)
				}
			})
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+test.header+"\r\n")
			is.NoErr(err)
			in := bufio.NewReader(c)
			interim := make([]byte, len(test.interim))
			_, err = io.ReadFull(in, interim)
			is.NoErr(err)
			is.Equal(string(interim), test.interim)
			_, err = io.WriteString(c, test.sent)
			is.NoErr(err)
			_, body, _ := readResponse(t, in)
			is.Equal(body, "hello")
		})
	}
}

// Guards against a shutdown that drops an accepted request or leaves an idle connection open.
func TestShutdownCompletesAcceptedRequests(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	s, c := start(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		io.WriteString(w, "answer")
	})
	_, err := io.WriteString(c, get("/"))
	is.NoErr(err)
	<-started
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	for {
		s.mu.Lock()
		closing := s.closing
		s.mu.Unlock()
		if closing {
			break
		}
	}
	close(release)
	in := bufio.NewReader(c)
	_, body, _ := readResponse(t, in)
	is.Equal(body, "answer")
	c.Close()
	is.NoErr(<-done)
}

// heldListener lets no connection be accepted until it is released.
type heldListener struct {
	*net.TCPListener
	released chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Guards against a shutdown that resets connections whose clients have already sent a request: one that waits in the
// listener's backlog, and an idle one whose request is on its way.
func TestShutdownServesRequestsOnTheirWay(t *testing.T) {
	for _, backlog := range []bool{true, false} {
		t.Run(fmt.Sprint("backlog=", backlog), func(t *testing.T) {
			is := is.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			held := &heldListener{inner.(*net.TCPListener), make(chan struct{})}
			s := &Server{
				Handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "answer") }),
				IdleTimeout: time.Minute, ReadTimeout: time.Minute, MaxHeaderBytes: 4 << 10, MaxBodyBytes: 100,
			}
			served := make(chan error, 1)
			go func() { served <- s.Serve(held) }()
			c, err := net.Dial("tcp", inner.Addr().String())
			is.NoErr(err)
			defer c.Close()
			in := bufio.NewReader(c)
			if backlog {
				_, err = io.WriteString(c, get("/"))
				is.NoErr(err)
			} else {
				close(held.released)
				_, err = io.WriteString(c, get("/"))
				is.NoErr(err)
				readResponse(t, in)
			}
			done := make(chan error, 1)
			go func() { done <- s.Shutdown(t.Context()) }()
			for !s.isClosing() {
				time.Sleep(time.Millisecond)
			}
			if backlog {
				close(held.released)
			} else {
				_, err = io.WriteString(c, get("/"))
				is.NoErr(err)
			}
			status, body, closes := readResponse(t, in)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "answer")
			is.True(closes)
			c.Close()
			is.NoErr(<-done)
			is.Equal(<-served, http.ErrServerClosed)
		})
	}
}

// Guards against responses from which a client cannot determine the length or the absence of the body.
func TestFraming(t *testing.T) {
	for _, test := range []struct {
		description, method string
		status              int
		length              string
		body                string
	}{
		{"content length", "GET", 200, "5", "hello"},
		{"chunked", "GET", 200, "", "hello"},
		{"no content", "GET", 204, "", ""},
		{"not modified", "GET", 304, "", ""},
		{"HEAD", "HEAD", 200, "5", ""},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			_, c := start(t, func(w http.ResponseWriter, _ *http.Request) {
				if test.length != "" {
					w.Header().Set("Content-Length", test.length)
				}
				w.WriteHeader(test.status)
				io.WriteString(w, "hello")
			})
			in := bufio.NewReader(c)
			for range 2 { // the second response shows that the first one ended at the right place
				_, err := io.WriteString(c, test.method+" / HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				resp, err := http.ReadResponse(in, &http.Request{Method: test.method})
				is.NoErr(err)
				data, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(resp.StatusCode, test.status)
				is.Equal(string(data), test.body)
				if test.length != "" {
					is.Equal(resp.Header.Get("Content-Length"), test.length)
				}
			}
		})
	}
}

// Guards against a connection that deadlocks once maxPending requests are pending.
func TestManyPipelinedRequests(t *testing.T) {
	is := is.New(t)
	const requests = 5 * maxPending
	_, c := start(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.URL.Path) })
	go func() {
		for i := range requests {
			io.WriteString(c, get("/"+strconv.Itoa(i)))
		}
	}()
	in := bufio.NewReader(c)
	for i := range requests {
		_, body, _ := readResponse(t, in)
		is.Equal(body, "/"+strconv.Itoa(i))
	}
}
