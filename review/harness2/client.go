package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the id of one attempt of a client.
func newID() string { return fmt.Sprintf("a%07d", lastID.Add(1)) }

// answer is a response that a client got.
type answer struct {
	status           int
	id, digest, body string
}

// readAnswer reads one response. The error is io.EOF if the connection ended before its first byte.
func readAnswer(in *bufio.Reader) (answer, error) {
	if _, err := in.Peek(1); err != nil {
		return answer{}, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, id: resp.Header.Get(headerID), digest: resp.Header.Get(headerDigest), body: string(body)}
	return a, err
}

// dialFront opens a connection to the front address of a process.
func (d *deployment) dialFront(n *node) (net.Conn, error) {
	return net.DialTimeout("tcp", d.frontOf(n), time.Second)
}

// request returns the text of an ordinary request.
func request(method, target, host, id string, deadlineMillis int, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, headerID, id, headerDeadline, deadlineMillis)
	if body != "" || method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

// send sends one request on a connection of its own and returns the response.
func (d *deployment) send(n *node, method, target, host, id string, deadlineMillis int, body string) (answer, error) {
	conn, err := d.dialFront(n)
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(deadlineMillis)*time.Millisecond + time.Second))
	if _, err := io.WriteString(conn, request(method, target, host, id, deadlineMillis, body)); err != nil {
		return answer{}, err
	}
	return readAnswer(bufio.NewReader(conn))
}
