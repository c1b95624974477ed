package main

import (
	"bufio"
	"errors"
	"io"
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
	attackTime   = 60 * time.Second
	ordinaryWait = 100 * time.Millisecond
)

// heads sends requests to paths without a route. With the disruption, each has a header over the limit, with a line of bytes that
// are not text.
func heads(d *deployment, trouble bool) (bool, error) {
	const host = "nony93.example"
	if err := d.put(newConfig(3, 0, []string{"ledger-read"}, route{"r-1", host, "/item/", "safe", 1500, 2, "ledger-read"})); err != nil {
		return false, err
	}
	if err := d.addServers("ledger-read", 6, 20*time.Millisecond); err != nil {
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
	sent, answered := 0, 0
	for time.Now().Before(end) {
		n := attacked[sent%len(attacked)]
		a, err := d.send(n, http.MethodGet, "/item/17", host, newID(), 1500, "")
		sent++
		if err == nil && a.status == http.StatusOK {
			answered++
		} else {
			d.record.printf("ordinary client at %s: %d %v", n.name, a.status, err)
		}
		time.Sleep(ordinaryWait)
	}
	clients.Wait()
	machines := w.finish()
	d.record.result("hostile requests %d, answered with 4xx %d; ordinary requests at the two machines %d, answered with success %d; machines on which the process ended %d times or more: %d",
		requests.Load(), refused.Load(), sent, answered, endsForFault, machines)
	if !trouble && answered < sent/2 {
		return false, errors.New("most ordinary requests were not answered with success")
	}
	return machines >= machinesOfFault, nil
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
