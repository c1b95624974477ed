package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// clientConn is a connection of a client to a machine.
type clientConn struct {
	env  *env
	m    *machine
	conn net.Conn
	in   *bufio.Reader
}

func (e *env) connect(m *machine) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{env: e, m: m, conn: conn, in: bufio.NewReader(conn)}, nil
}

// request is a request of a client.
type request struct {
	id       string
	method   string
	path     string
	deadline time.Duration
	close    bool // the client asks for the end of the connection after the answer
}

func newRequest(method, path string, deadline time.Duration) request {
	return request{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, path: path, deadline: deadline}
}

// answer is what the client got.
type answer struct {
	status  int // 0 if the connection ended without a complete answer
	success bool
	err     error
	at      time.Time
}

func (c *clientConn) send(r request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nBramleypick-Attempt-Id: %s\r\nBramleypick-Deadline-Ms: %d\r\n", r.method, r.path, routeHost,
		r.id, r.deadline.Milliseconds())
	if r.method == http.MethodPost {
		head += "Content-Length: 2\r\n"
	}
	if r.close {
		head += "Connection: close\r\n"
	}
	head += "\r\n"
	if r.method == http.MethodPost {
		head += "{}"
	}
	c.env.record.line("client sends %s (%s %s) to %s", r.id, r.method, r.path, c.m.name)
	c.env.recordSent(r.id)
	_, err := io.WriteString(c.conn, head)
	return err
}

// receive reads the answer to r. A missing answer at the deadline counts as one without a status.
func (c *clientConn) receive(r request) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(r.deadline)) // an error shows in the read
	resp, err := http.ReadResponse(c.in, &http.Request{Method: r.method})
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	a := answer{err: err, at: time.Now()}
	if err == nil {
		a.status = resp.StatusCode
		a.success = resp.StatusCode/100 == 2 && resp.Header.Get("Bramleypick-Response-Signature") == signature(r.id)
	}
	if err != nil {
		c.env.record.line("client gets no answer to %s: %v", r.id, err)
	} else {
		c.env.record.line("client gets %d to %s", a.status, r.id)
	}
	return a
}

func (c *clientConn) close() { c.conn.Close() }

// exchange sends one request on a new connection.
func (e *env) exchange(m *machine, r request) answer {
	c, err := e.connect(m)
	if err != nil {
		e.record.line("client cannot connect to %s for %s: %v", m.name, r.id, err)
		return answer{err: err, at: time.Now()}
	}
	defer c.close()
	if err := c.send(r); err != nil {
		return answer{err: err, at: time.Now()}
	}
	return c.receive(r)
}
