package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["pipelined"] = pipelined }

const (
	// longBody is the length in bytes of the responses of the first service. Those of the other one are short.
	longBody = 400 << 10
	// faultyServers of longServers break off one in breakOffEvery responses.
	longServers, faultyServers, breakOffEvery = 6, 3, 20

	pipeliningClients   = 8
	batchesOfClient     = 90
	maxLostBeforeBroken = 3
)

// pipelined sends four safe requests at once on connections that were used before. With the disruption, some servers of the first
// request break off a part of their responses. The servers of the others are sound.
func pipelined(d *deployment, trouble bool) (bool, error) {
	const host = "nony93.example"
	c := newConfig(3, 0, []string{"sheet-press", "ledger-read"},
		route{"r-1", host, "/sheet/", "safe", 1500, 2, "sheet-press"},
		route{"r-2", host, "/item/", "safe", 1500, 2, "ledger-read"})
	if err := d.put(c); err != nil {
		return false, err
	}
	if err := errors.Join(d.addServers("sheet-press", longServers, 20*time.Millisecond), d.addServers("ledger-read", 9, 150*time.Millisecond)); err != nil {
		return false, err
	}
	for i, s := range d.servers[:longServers] {
		breaksOff := trouble && i < faultyServers
		s.respond = func(conn net.Conn, r *http.Request, s *server) bool { return s.respondLong(conn, r, breaksOff) }
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	behind, answered := 0, 0
	unanswered := make(map[string]bool)
	var clients sync.WaitGroup
	for k := range pipeliningClients {
		clients.Go(func() {
			for i := range batchesOfClient {
				b := d.sendBatch(d.nodes[(k+i)%len(d.nodes)], host)
				mu.Lock()
				for _, id := range b.behind {
					behind++
					if b.answered[id] {
						answered++
					} else {
						unanswered[id] = true
					}
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	lost := 0
	for _, x := range d.allRuns() {
		if unanswered[x.id] {
			lost++
			d.record.printf("LOST: %s was passed on to %s, which is sound, and its connection was closed without a response", x.id, x.server)
		}
	}
	d.record.result("requests behind others %d, answered %d, run by a sound server and never answered %d", behind, answered, lost)
	if answered < behind/2 {
		return false, errors.New("most requests were not answered")
	}
	return lost > maxLostBeforeBroken, nil
}

// respondLong sends a long response. If breaksOff is set, one in breakOffEvery ends after three quarters of its body.
func (s *server) respondLong(conn net.Conn, r *http.Request, breaksOff bool) bool {
	id, body := r.Header.Get(headerID), strings.Repeat("sheet ", longBody/6)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nBramleypick-Server-Load: 0,0,6,100\r\nContent-Length: %d\r\n\r\n",
		headerID, id, headerDigest, digest(s.id, body), len(body))
	s.mu.Lock()
	count := len(s.runs)
	s.mu.Unlock()
	if breaksOff && count%breakOffEvery == 0 {
		s.d.record.printf("%s breaks off its response to %s", s.id, id)
		_, _ = io.WriteString(conn, head+body[:3*len(body)/4])
		return false
	}
	return write(conn, "%s", head+body)
}

// batch is what was sent behind another request on one connection.
type batch struct {
	behind   []string
	answered map[string]bool
}

// sendBatch sends one request and, after its response, four at once on the same connection.
func (d *deployment) sendBatch(n *node, host string) batch {
	b := batch{answered: make(map[string]bool)}
	conn, err := d.dialFront(n)
	if err != nil {
		d.record.printf("client: %v", err)
		return b
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(conn)
	if _, err = io.WriteString(conn, request(http.MethodGet, "/item/16", host, newID(), 1500, "")); err == nil {
		_, err = readAnswer(in)
	}
	if err != nil {
		d.record.printf("client: no response to the first request on a connection to %s: %v", n.name, err)
		return b
	}
	id := newID()
	text := request(http.MethodGet, "/sheet/17", host, id, 1500, "")
	for range 3 {
		behind := newID()
		b.behind = append(b.behind, behind)
		text += request(http.MethodGet, "/item/17", host, behind, 1500, "")
	}
	d.record.printf("client sends %s and behind it %v to %s", id, b.behind, n.name)
	if _, err := io.WriteString(conn, text); err != nil {
		d.record.printf("client: %v", err)
	}
	for range 1 + len(b.behind) {
		a, err := readAnswer(in)
		if err != nil {
			d.record.printf("client: the connection with %s ends: %v", id, err)
			return b
		}
		b.answered[a.id] = true
		d.record.printf("client gets %d for %s, %d bytes", a.status, a.id, len(a.body))
	}
	return b
}
