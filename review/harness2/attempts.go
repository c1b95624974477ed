package main

import (
	"errors"
	"math"
	"net/http"
	"time"
)

const (
	playTime = 60 * time.Second
	pause    = 20 * time.Millisecond
)

func init() { plays["attempts"] = attempts }

// attempts adds a route in a second configuration and sends ordinary requests on it, one at a time. With the disruption, the route
// has a max-attempts of 2,147,483,647, which does not bound the number of servers.
func attempts(d *deployment, trouble bool) (bool, error) {
	const host = "nony93.example"
	services := []string{"ledger-read"}
	first := route{"r-1", host, "/item/", "safe", 1500, 2, "ledger-read"}
	if err := d.put(newConfig(3, 0, services, first)); err != nil {
		return false, err
	}
	if err := d.addServers("ledger-read", 6, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	most := 3
	if trouble {
		most = math.MaxInt32
	}
	if err := d.put(newConfig(5, 3, services, first, route{"r-2", host, "/loans/", "safe", 1500, most, "ledger-read"})); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // config-apply-ms
	w := d.watch()
	sent, successes := 0, 0
	for end := time.Now().Add(playTime); time.Now().Before(end); sent++ {
		n := d.nodes[sent%len(d.nodes)]
		id := newID()
		a, err := d.send(n, http.MethodGet, "/loans/17", host, id, 2000, "")
		d.record.printf("client sends %s to %s: %d %v", id, n.name, a.status, err)
		if err == nil && a.status == http.StatusOK {
			successes++
		}
		time.Sleep(pause)
	}
	machines := w.finish()
	d.record.result("requests %d, answered with success %d; machines on which the process ended %d times or more: %d of %d",
		sent, successes, endsForFault, machines, processes)
	if !trouble && successes < sent/2 {
		return false, errors.New("most requests were not answered with success")
	}
	return machines >= machinesOfFault, nil
}
