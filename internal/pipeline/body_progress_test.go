package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against bodies that are cut off although they keep arriving, and against connections that stay open for a body that does not.
func TestBodyThatTakesLongerThanTheTimeout(t *testing.T) {
	const length, step = 160 << 10, 4 << 10
	for description, test := range map[string]struct {
		pause    time.Duration // between two steps
		complete bool
	}{
		"twice the least rate": {step * time.Second / (2 * minRate), true},
		"half of it":           {2 * step * time.Second / minRate, false},
	} {
		t.Run(description, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				handled := false
				s := &Server{
					Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true }),
					IdleTimeout: time.Minute, ReadTimeout: time.Second, MaxHeaderBytes: 4 << 10, MaxBodyBytes: length,
				}
				l := newPipeListener()
				go s.Serve(l)
				defer s.Close()
				c := l.dial()
				var sending sync.WaitGroup
				defer sending.Wait()
				defer c.Close()
				sending.Go(func() {
					fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
					for range length / step {
						time.Sleep(test.pause)
						if _, err := c.Write(make([]byte, step)); err != nil {
							return
						}
					}
				})
				_, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.Equal(err == nil, test.complete)
				is.Equal(handled, test.complete)
			})
		})
	}
}

// pipeListener accepts connections in memory, whose deadlines use the clock of the test.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
