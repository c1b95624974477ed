package upstreamconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"

// upstream runs a script for the first request on its first connection and responds to every other request with okResponse.
type upstream struct {
	listener net.Listener
	script   func(c net.Conn, r *http.Request)
	accepted atomic.Int32
	body     chan string // body of the first request
}

func startUpstream(t *testing.T, script func(*upstream, net.Conn, *http.Request)) *upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	u := &upstream{listener: listener, body: make(chan string, 1)}
	u.script = func(c net.Conn, r *http.Request) { script(u, c, r) }
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go u.serve(c, u.accepted.Add(1) == 1)
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return u
}

func (u *upstream) serve(c net.Conn, scripted bool) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if scripted {
			scripted = false
			u.script(c, r)
			continue
		}
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, okResponse)
	}
}

// respondWith returns a script that reads the request's body, writes text, and closes the connection if end is set.
func respondWith(text string, end bool) func(*upstream, net.Conn, *http.Request) {
	return func(u *upstream, c net.Conn, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		u.body <- string(data)
		io.WriteString(c, text)
		if end {
			c.Close()
		}
	}
}

// respondBeforeBody returns a script that writes text before it reads the request's body.
func respondBeforeBody(text string) func(*upstream, net.Conn, *http.Request) {
	return func(u *upstream, c net.Conn, r *http.Request) {
		io.WriteString(c, text)
		data, _ := io.ReadAll(r.Body)
		u.body <- string(data)
	}
}

// waitReadable waits until the oldest idle connection is readable. It does not consume data.
func waitReadable(p *Pool) {
	p.mu.Lock()
	raw := p.idle[0].raw
	p.mu.Unlock()
	raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return err != syscall.EAGAIN
	})
}

// endlessBody is a request body without an end.
type endlessBody struct{ closed atomic.Bool }

func (e *endlessBody) Read(p []byte) (int, error) {
	if e.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	return len(p), nil
}

func (e *endlessBody) Close() error { e.closed.Store(true); return nil }

// Guards against a response that is incomplete or belongs to another request, and against the reuse of a connection whose
// state is uncertain. In every row the second exchange must receive its own response.
func TestInvariantResponseIntegrityConnections(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	stray := make(chan struct{})
	for _, test := range []struct {
		description string
		script      func(*upstream, net.Conn, *http.Request)
		change      func(*http.Request) // of a POST with the body "question"
		err         error
		body        string
		reused      bool
		before      func(*Pool) // before the second exchange
	}{
		{"complete body", respondWith(ok+"first", false), nil, nil, "first", true, nil},
		{"chunked body", respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nfir\r\n2\r\nst\r\n0\r\n\r\n", false), nil,
			nil, "first", true, nil},
		{"no content", respondWith("HTTP/1.1 204 No Content\r\n\r\n", false), nil, nil, "", true, nil},
		{"not modified, with a length", respondWith("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", false), nil, nil, "", true, nil},
		{"HEAD, with a length", respondWith(ok, false), func(r *http.Request) { r.Method, r.Body, r.ContentLength = "HEAD", nil, 0 },
			nil, "", true, nil},
		{"interim responses", respondWith("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"+ok+"first", false), nil,
			nil, "first", true, nil},
		{"right echo", respondWith("HTTP/1.1 200 OK\r\nBramleypick-Request-Id: r1\r\nContent-Length: 5\r\n\r\nfirst", false), nil,
			nil, "first", true, nil},
		{"wrong echo", respondWith("HTTP/1.1 200 OK\r\nBramleypick-Request-Id: r0\r\nContent-Length: 5\r\n\r\nfirst", false), nil,
			ErrMismatchedResponse, "", false, nil},
		{"bytes left over", respondWith(ok+"first"+ok+"stale", false), nil, nil, "first", false, nil},
		{"bytes while idle", func(u *upstream, c net.Conn, r *http.Request) {
			respondWith(ok+"first", false)(u, c, r)
			<-stray
			io.WriteString(c, ok+"stale")
		}, nil, nil, "first", false, func(p *Pool) { close(stray); waitReadable(p) }},
		{"closed while idle", respondWith(ok+"first", true), nil, nil, "first", false, waitReadable},
		{"upstream requests close", respondWith("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfirst", false), nil,
			nil, "first", false, nil},
		{"body closed before its end", respondWith(ok+"fir", false), func(r *http.Request) { r.Header.Set("Read-Only", "3") }, nil,
			"fir", false, nil},
		{"short body", respondWith(ok+"fir", true), nil, ErrConnLost, "fir", false, nil},
		{"short chunked body", respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nfir\r\n", true), nil,
			ErrConnLost, "fir", false, nil},
		{"malformed chunk", respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nfirst\r\n", false), nil,
			ErrMalformedResponse, "fir", false, nil},
		{"body until close", respondWith("HTTP/1.1 200 OK\r\n\r\nfirst", true), nil, ErrMalformedResponse, "", false, nil},
		{"no response", respondWith("", true), nil, ErrConnLost, "", false, nil},
		{"incomplete header", respondWith("HTTP/1.1 200 OK\r\nConte", true), nil, ErrConnLost, "", false, nil},
		{"not HTTP", respondWith("250 hello\r\n\r\n", false), nil, ErrMalformedResponse, "", false, nil},
		{"two lengths", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nfirst", false), nil,
			ErrMalformedResponse, "", false, nil},
		{"switching protocols", respondWith("HTTP/1.1 101 Switching Protocols\r\n\r\n", false), nil, ErrMalformedResponse, "", false, nil},
		{"endless interim responses", respondWith(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 99), false), nil,
			ErrMalformedResponse, "", false, nil},
		{"huge header", respondWith("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 99<<10), false), nil, ErrMalformedResponse, "", false, nil},
		{"response before the end of a long request", respondBeforeBody(ok + "first"),
			func(r *http.Request) { r.Body, r.ContentLength = &endlessBody{}, -1 }, nil, "first", false, nil},
		{"body requested", func(u *upstream, c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			respondWith(ok+"first", false)(u, c, r)
		}, func(r *http.Request) { r.Header.Set("Expect", "100-continue") }, nil, "first", true, nil},
		{"body not requested", respondBeforeBody(ok + "first"), func(r *http.Request) { r.Header.Set("Expect", "100-continue") },
			nil, "first", false, nil},
		{"request body shorter than declared", respondWith(ok+"first", false), func(r *http.Request) { r.ContentLength = 99 },
			ErrIncompleteRequest, "", false, nil},
		{"long request body shorter than declared", respondWith(ok+"first", false), func(r *http.Request) { r.ContentLength = 99 << 10 },
			ErrIncompleteRequest, "", false, nil},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			u := startUpstream(t, test.script)
			p := NewPool(u.listener.Addr().String(), Options{})
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()

			r, err := http.NewRequest("POST", "http://"+u.listener.Addr().String()+"/status", strings.NewReader("question"))
			is.NoErr(err)
			r.Header.Set(DefaultRequestIDHeader, "r1")
			if test.change != nil {
				test.change(r)
			}
			body, out, err := call(ctx, p, r)
			is.True(errors.Is(err, test.err))
			is.True(err != io.EOF && !errors.Is(err, io.EOF))
			is.Equal(body, test.body)
			is.True(!out.Reused)
			if test.description == "body not requested" {
				is.Equal(<-u.body, "") // the request body was not sent
			}
			if test.reused {
				is.Equal(p.Stats().Idle, 1)
			}
			if test.before != nil {
				test.before(p)
			}
			second, err := http.NewRequest("GET", "http://"+u.listener.Addr().String()+"/status", nil)
			is.NoErr(err)
			body, out, err = call(ctx, p, second)
			is.NoErr(err)
			is.Equal(body, "second")
			is.Equal(out.Reused, test.reused)
			is.Equal(p.Stats().Open, 1) // a connection that was not reused is closed
		})
	}
}

// call performs one exchange and reads the body.
func call(ctx context.Context, p *Pool, r *http.Request) (string, Outcome, error) {
	c, err := p.Connect(ctx, false)
	if err != nil {
		return "", Outcome{}, err
	}
	resp, out, err := c.Exchange(ctx, r)
	if err != nil {
		return "", out, err
	}
	defer resp.Body.Close()
	if limit, err := strconv.Atoi(r.Header.Get("Read-Only")); err == nil { // the caller closes the body after this many bytes
		data := make([]byte, limit)
		_, err = io.ReadFull(resp.Body, data)
		return string(data), out, err
	}
	data, err := io.ReadAll(resp.Body)
	return string(data), out, err
}

// Guards against a late second response to a health check being taken for the response to a request. It carries no id, so
// the check for a different id does not detect it.
func TestRequiredEcho(t *testing.T) {
	for _, test := range []struct {
		description, header string
		err                 error
	}{
		{"matching id", DefaultRequestIDHeader + ": r1\r\n", nil},
		{"different id", DefaultRequestIDHeader + ": r0\r\n", ErrMismatchedResponse},
		{"no id", "", ErrMismatchedResponse},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			u := startUpstream(t, respondWith("HTTP/1.1 200 OK\r\n"+test.header+"Content-Length: 5\r\n\r\nfirst", false))
			p := NewPool(u.listener.Addr().String(), Options{RequireEcho: true})
			defer p.Close()
			r, err := http.NewRequest("GET", "http://"+u.listener.Addr().String()+"/status", nil)
			is.NoErr(err)
			r.Header.Set(DefaultRequestIDHeader, "r1")
			_, _, err = call(t.Context(), p, r)
			is.True(errors.Is(err, test.err))
		})
	}
}

// Guards against taking a late second response to a request for the response to a health check, which carries no id.
func TestHealthCheckRejectsResponseToRequest(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, respondWith("HTTP/1.1 200 OK\r\n"+DefaultRequestIDHeader+": r0\r\nContent-Length: 5\r\n\r\nfirst", false))
	p := NewPool(u.listener.Addr().String(), Options{RequireEcho: true})
	defer p.Close()
	r, err := http.NewRequest("GET", "http://"+u.listener.Addr().String()+"/health", nil)
	is.NoErr(err)
	_, _, err = call(t.Context(), p, r)
	is.True(errors.Is(err, ErrMismatchedResponse))
}

// Guards against a refused connection that looks like one without a response: only the former shows that the upstream's
// process has ended.
func TestRefusedConnectionIsRecognised(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	p := NewPool(listener.Addr().String(), Options{})
	defer p.Close()
	_, err = p.Connect(t.Context(), true)
	is.True(errors.Is(err, ErrDial))
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}
