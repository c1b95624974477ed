package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["heads"] = heads }

const (
	// hostileClients is the number of connections of the clients that the operators do not control, at each of two processes.
	hostileClients = 600
	// longHead is the length in bytes of a line of the header. The configuration allows headers of 16,384 bytes.
	longHead     = 64000
	attackTime   = 30 * time.Second
	ordinaryWait = 100 * time.Millisecond
	// ordinaryClients is the number of clients that keep a connection to each of the two processes.
	ordinaryClients = 6
)

// heads sends requests to paths without a route. With the disruption, each has a header over the limit, with a line of bytes that
// are not text.
func heads(d *deployment, trouble bool) (bool, error) {
	const host = "nony93.example"
	if err := d.put(newConfig(3, 0, []string{"ledger-read"}, route{"r-1", host, "/item/", "safe", 1500, 2, "ledger-read"})); err != nil {
		return false, err
	}
	if err := d.addServers("ledger-read", 6, 150*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	line := "x"
	if trouble {
		line = strings.Repeat("\xff", longHead)
	}
	w := d.watch()
	attacked := d.nodes[processes-machinesOfFault:]
	end := time.Now().Add(attackTime)
	var clients sync.WaitGroup
	var requests, refused atomic.Int64
	for _, n := range attacked {
		for range hostileClients {
			clients.Go(func() { d.attack(n, host, line, end, &requests, &refused) })
		}
	}
	keep := newKeepers(d)
	for _, n := range attacked {
		for range ordinaryClients {
			clients.Go(func() { keep.send(n, host, end) })
		}
	}
	clients.Wait()
	machines := w.finish()
	lost := 0
	for _, x := range d.allRuns() {
		if keep.unanswered[x.id] {
			lost++
			d.record.printf("LOST: %s was passed on to %s, which is sound, and its connection was closed without a response", x.id, x.server)
		}
	}
	d.record.result("hostile requests %d, answered with 4xx %d; machines on which the process ended %d times or more: %d",
		requests.Load(), refused.Load(), endsForFault, machines)
	d.record.result("ordinary requests on kept connections at the two machines %d, answered with success %d; run by a sound server and never answered %d",
		keep.sent, keep.answered, lost)
	if !trouble && keep.answered < keep.sent/2 {
		return false, errors.New("most ordinary requests were not answered with success")
	}
	return lost > maxLostBeforeBroken, nil
}

// keepers are ordinary clients that keep their connections.
type keepers struct {
	d *deployment

	mu             sync.Mutex
	sent, answered int
	unanswered     map[string]bool // requests on kept connections that ended without any response
}

func newKeepers(d *deployment) *keepers { return &keepers{d: d, unanswered: make(map[string]bool)} }

// send sends requests one after the other until end, on a new connection whenever one has ended.
func (k *keepers) send(n *node, host string, end time.Time) {
	for time.Now().Before(end) {
		conn, err := k.d.dialFront(n)
		if err != nil {
			time.Sleep(ordinaryWait)
			continue
		}
		in := bufio.NewReader(conn)
		for i := 0; time.Now().Before(end); i++ {
			id := newID()
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second)) // twice the deadline of the request
			if _, err = io.WriteString(conn, request(http.MethodGet, "/item/17", host, id, 1500, "")); err != nil {
				break
			}
			var a answer
			a, err = readAnswer(in)
			k.note(n, id, i > 0, a, err)
			if err != nil {
				break
			}
		}
		conn.Close()
	}
}

// note records the outcome of a request. kept is set if the connection was used before.
func (k *keepers) note(n *node, id string, kept bool, a answer, err error) {
	k.d.record.printf("ordinary client at %s: %s, %d %v", n.name, id, a.status, err)
	if !kept {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent++
	if err == nil && a.status == http.StatusOK {
		k.answered++
	}
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		k.unanswered[id] = true
	}
}

// attack sends requests on one connection after the other until end.
func (d *deployment) attack(n *node, host, line string, end time.Time, requests, refused *atomic.Int64) {
	for time.Now().Before(end) {
		conn, err := d.dialFront(n)
		if err != nil {
			time.Sleep(ordinaryWait)
			continue
		}
		in := bufio.NewReader(conn)
		for time.Now().Before(end) {
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			requests.Add(1)
			if _, err := io.WriteString(conn, request(http.MethodGet, "/none/17", host, newID()+line, 1500, "")); err != nil {
				break
			}
			a, err := readAnswer(in)
			if err != nil {
				break
			}
			if a.status/100 == 4 {
				refused.Add(1)
			}
			time.Sleep(ordinaryWait)
		}
		conn.Close()
	}
}
