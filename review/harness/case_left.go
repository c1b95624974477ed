package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	drain = 2 * time.Second // drain-ms
	// servesOn is how long the server serves after the ack of its deregistration: drain-ms and "a little longer (at times
	// many seconds)".
	servesOn = 10 * time.Second
	// coreDown is the pause until the killed processes of the core are started again.
	coreDown = 700 * time.Millisecond
)

// playLeft deregisters a server, and kills the processes of the core right after the ack. Rule DRAIN.
func playLeft(e *env) (bool, error) {
	if err := e.startMachines(brambati, 5); err != nil {
		return false, err
	}
	// As the site file has it for archivio-log: two servers in milano-nord, three in bergamo, one in brescia.
	zones := []string{"milano-nord", "milano-nord", "bergamo", "bergamo", "bergamo", "brescia"}
	servers, err := e.startServers("plain-archive", len(zones), serverKind{slots: 3, queue: 12, work: 72 * time.Millisecond, zones: zones})
	if err != nil {
		return false, err
	}
	routes := []route{{name: "storico", prefix: "/storico/", kind: "safe", timeoutMS: 1200, targetMS: 300, attempts: 2, service: "plain-archive"}}
	if err := e.putConfig(routes, []string{"plain-archive"}); err != nil {
		return false, err
	}
	if err := e.awaitAllReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range e.machines {
		clients.Go(func() {
			for tick := time.NewTicker(80 * time.Millisecond); ; {
				select {
				case <-tick.C:
					clients.Go(func() { e.exchange(m, newRequest(http.MethodGet, "/storico/a", 1200*time.Millisecond)) })
				case <-stop:
					tick.Stop()
					return
				}
			}
		})
	}
	defer clients.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)
	core := e.machines[:coreSize]
	restarted := make(map[string]time.Time)
	leaver := servers[len(servers)-1] // the one in brescia
	ackAt, by, err := leaver.deregister()
	if err != nil {
		return false, err
	}
	if e.trouble {
		for _, m := range core {
			m.kill()
		}
	}
	e.record.note("the deregistration of the server was acknowledged by %s", by.name)
	if e.trouble {
		for _, m := range core {
			m.awaitExit()
		}
		time.Sleep(coreDown)
		for _, m := range core {
			if err := m.start(); err != nil {
				return false, err
			}
			restarted[m.ip()] = time.Now()
		}
		for _, m := range core {
			if err := m.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(ackAt.Add(servesOn)))
	leaver.crash() // it exits
	late := 0
	for _, a := range leaver.arrived() {
		inTouch := a.at.After(restarted[a.from].Add(contact))
		if !a.refused && a.at.After(ackAt.Add(drain)) {
			e.record.line("request %s reached the server %.3f s after the ack, from %s, in touch: %v", a.id, a.at.Sub(ackAt).Seconds(), a.from, inTouch)
			if inTouch && allInTouch(restarted, a.at) {
				late++
			}
		}
	}
	e.record.note("requests that reached the server later than drain-ms after the ack, from machines in touch: %d", late)
	return late > 0, nil
}

// allInTouch reports whether contact-ms have passed since the last start of a machine of the core.
func allInTouch(started map[string]time.Time, at time.Time) bool {
	for _, s := range started {
		if at.Before(s.Add(contact)) {
			return false
		}
	}
	return true
}
