package main

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"time"
)

func init() { plays["percent"] = percent }

const (
	percentBatches = 40
	// requestsAhead are sent, and passed on, before the request with the odd path.
	requestsAhead = 3
	// aheadTime is between the two. It is less than half of the time for which servers work on a request.
	aheadTime = 80 * time.Millisecond
)

// percent sends safe requests on connections that were used before, and a further one while servers run them. With the disruption,
// the path of the last one has a percent sign that begins no percent-encoding. All servers are sound.
func percent(d *deployment, trouble bool) (bool, error) {
	const host = "nony93.example"
	if err := d.put(newConfig(3, 0, []string{"ledger-read"}, route{"r-1", host, "/item/", "safe", 1500, 2, "ledger-read"})); err != nil {
		return false, err
	}
	if err := d.addServers("ledger-read", 9, 200*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	last := "/item/100%25"
	if trouble {
		last = "/item/100%"
	}
	unanswered := make(map[string]bool)
	answered := 0
	for i := range percentBatches {
		for id, got := range d.sendAhead(d.nodes[i%len(d.nodes)], host, last) {
			if got {
				answered++
			} else {
				unanswered[id] = true
			}
		}
	}
	time.Sleep(time.Second)
	lost := 0
	for _, x := range d.allRuns() {
		if unanswered[x.id] {
			lost++
			d.record.printf("LOST: %s was passed on to %s, and its connection was closed without a response", x.id, x.server)
		}
	}
	d.record.result("requests sent ahead %d, answered %d, run by a sound server and never answered %d", percentBatches*requestsAhead, answered, lost)
	if !trouble && answered < percentBatches*requestsAhead/2 {
		return false, errors.New("most requests were not answered")
	}
	return lost > maxLostBeforeBroken, nil
}

// sendAhead sends one request and, after its response, requestsAhead others on the same connection, and last while these run. It
// returns the ids of those before last, and whether each was answered.
func (d *deployment) sendAhead(n *node, host, last string) map[string]bool {
	got := make(map[string]bool)
	conn, err := d.dialFront(n)
	if err != nil {
		d.record.printf("client: %v", err)
		return got
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(conn)
	if _, err = io.WriteString(conn, request(http.MethodGet, "/item/16", host, newID(), 1500, "")); err == nil {
		_, err = readAnswer(in)
	}
	if err != nil {
		d.record.printf("client: no response to the first request on a connection to %s: %v", n.name, err)
		return got
	}
	text := ""
	for range requestsAhead {
		id := newID()
		got[id] = false
		d.record.printf("client sends %s to %s", id, n.name)
		text += request(http.MethodGet, "/item/17", host, id, 1500, "")
	}
	if _, err = io.WriteString(conn, text); err != nil {
		d.record.printf("client: %v", err)
		return got
	}
	time.Sleep(aheadTime)
	id := newID()
	d.record.printf("client sends %s to %s behind them: GET %s", id, n.name, last)
	if _, err = io.WriteString(conn, request(http.MethodGet, last, host, id, 1500, "")); err != nil {
		d.record.printf("client: %v", err)
	}
	for range requestsAhead + 1 {
		a, err := readAnswer(in)
		if err != nil {
			d.record.printf("client: the connection with %s ends: %v", id, err)
			return got
		}
		d.record.printf("client gets %d for %q", a.status, a.id)
		if _, ahead := got[a.id]; ahead {
			got[a.id] = true
		}
	}
	return got
}
