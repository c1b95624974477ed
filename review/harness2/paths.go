package main

import (
	"errors"
	"net/http"
	"time"
)

// requestsOnRoutes is the number of requests of a case about paths.
const requestsOnRoutes = 400

func init() {
	plays["slashes"] = slashes
	plays["encoded"] = encoded
}

// slashes sends requests on a route with the prefix "/". With the disruption, their paths begin with two slashes.
func slashes(d *deployment, trouble bool) (bool, error) {
	const host = "nony93.example"
	c := newConfig(3, 0, []string{"return-desk"}, route{"r-1", host, "/", "unsafe", 1200, 2, "return-desk"})
	target := "/wu5//crutches/17?pair=2"
	if trouble {
		target = "//wu5/crutches/17?pair=2"
	}
	sent, err := d.sendOnRoutes(c, []string{"return-desk"}, host, target)
	if err != nil {
		return false, err
	}
	changed := 0
	for _, x := range d.allRuns() {
		if sent[x.id] && (x.target != target || x.host != host) {
			changed++
			d.record.printf("UNASKED: %s ran %s as %s %s of host %s, the client sent %s", x.server, x.id, x.method, x.target, x.host, target)
		}
	}
	d.record.result("requests %d, run with another path %d", len(sent), changed)
	return changed > 0, nil
}

// lostEvery is the number of runs of a faulty server of which one loses its answer.
const lostEvery = 10

// encoded sends requests to a host with two routes, an unsafe one and, with a longer prefix, a safe one. A slash in the paths is
// percent-encoded, so that only the shorter prefix begins them. With the disruption, servers run some of the requests and their
// answers are lost.
func encoded(d *deployment, trouble bool) (bool, error) {
	const host, target = "nony93.example", "/loans/status%2F17"
	c := newConfig(3, 0, []string{"return-desk"},
		route{"r-1", host, "/loans/", "unsafe", 1200, 2, "return-desk"},
		route{"r-2", host, "/loans/status/", "safe", 1200, 2, "return-desk"})
	if trouble {
		d.loseAnswers(lostEvery)
	}
	sent, err := d.sendOnRoutes(c, []string{"return-desk"}, host, target)
	if err != nil {
		return false, err
	}
	runs := make(map[string]int)
	twice := 0
	for _, x := range d.allRuns() {
		if !sent[x.id] {
			continue
		}
		if runs[x.id]++; runs[x.id] == 2 {
			twice++
			d.record.printf("TWICE: %s ran %s, which another server had run", x.server, x.id)
		}
	}
	d.record.result("requests %d, run more than once %d", len(sent), twice)
	return twice > 0, nil
}

// sendOnRoutes starts the servers and sends requests to the target. It returns their ids.
func (d *deployment) sendOnRoutes(c config, services []string, host, target string) (map[string]bool, error) {
	if err := d.put(c); err != nil {
		return nil, err
	}
	for _, s := range services {
		if err := d.addServers(s, 6, 5*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	sent := make(map[string]bool)
	successes := 0
	for i := range requestsOnRoutes {
		n := d.nodes[i%len(d.nodes)]
		id := newID()
		sent[id] = true
		a, err := d.send(n, http.MethodPost, target, host, id, 2000, "crutches")
		d.record.printf("client sends %s %s to %s: %d %v", id, target, n.name, a.status, err)
		if err == nil && a.status == http.StatusOK {
			successes++
		}
	}
	if successes < len(sent)/2 {
		return nil, errors.New("most requests were not answered with success")
	}
	return sent, nil
}
