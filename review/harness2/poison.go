package main

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { plays["poison"] = poison }

const (
	// serverDown is how long a server is down after a crash, and betweenRetries the time between two retries of a client: longer than
	// that and than contact-ms.
	serverDown     = 4 * time.Second
	betweenRetries = 5500 * time.Millisecond
	// coreKills is how often all processes of the core are killed at once.
	coreKills = 2
	// maxRetriesThatReach is the number of retries that may reach servers after the third crash.
	maxRetriesThatReach = 3
)

// crash resets all connections of the server and starts it again at the same address after serverDown.
func (s *server) crash() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close resets the connection
		}
		c.Close()
	}
	s.mu.Unlock()
	go func() {
		time.Sleep(serverDown)
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			s.d.record.printf("%s could not start again: %v", s.id, err)
			return
		}
		s.listener, s.born = listener, time.Now().UnixMilli()
		s.accept()
	}()
}

// poison sends a request that crashes the servers that run it, until the system refuses it. With the disruption, all processes of
// the core are killed at once and started again, before the request comes back at their machines.
func poison(d *deployment, trouble bool) (bool, error) {
	const host = "nony93.example"
	if err := d.put(newConfig(3, 0, []string{"return-desk"}, route{"r-1", host, "/loans/", "unsafe", 1500, 2, "return-desk"})); err != nil {
		return false, err
	}
	if err := d.addServers("return-desk", 12, 20*time.Millisecond); err != nil {
		return false, err
	}
	var crashes atomic.Int64
	for _, s := range d.servers {
		s.respond = func(conn net.Conn, r *http.Request, s *server) bool {
			if !strings.HasSuffix(r.RequestURI, "/poison") {
				return s.answer(conn, r.Header.Get(headerID))
			}
			crashes.Add(1)
			s.crash()
			return false
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	retry := func(n *node) {
		before := crashes.Load()
		a, err := d.send(n, http.MethodPost, "/loans/poison", host, newID(), 2000, "crutches")
		d.record.result("the request at %s: %d %v, crashed %d servers", n.name, a.status, err, crashes.Load()-before)
	}
	for range 3 {
		retry(d.nodes[replicas+1])
		time.Sleep(betweenRetries)
	}
	third := crashes.Load()
	for range coreKills {
		if trouble {
			if err := d.killCore(); err != nil {
				return false, err
			}
		}
		time.Sleep(betweenRetries) // the machines are in touch again
		for _, n := range d.nodes[:replicas] {
			retry(n)
			time.Sleep(betweenRetries)
		}
	}
	reached := crashes.Load() - third
	d.record.result("crashes %d; retries that reached a server after the third of them %d, of %d allowed", crashes.Load(), reached, maxRetriesThatReach)
	return reached > maxRetriesThatReach, nil
}

// killCore kills all processes of the core at once and starts them again after 0.7 s. Their disks are kept.
func (d *deployment) killCore() error {
	for _, n := range d.nodes[:replicas] {
		_ = n.cmd.Process.Kill() // an error means that it has ended
	}
	for _, n := range d.nodes[:replicas] {
		<-n.done
	}
	time.Sleep(700 * time.Millisecond)
	for _, n := range d.nodes[:replicas] {
		if err := d.restart(n); err != nil {
			return err
		}
	}
	return nil
}
