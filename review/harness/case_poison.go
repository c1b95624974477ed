package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	contact = 3 * time.Second // contact-ms
	// maxRetriesAfterThirdCrash is the bound of the rule.
	maxRetriesAfterThirdCrash = 3
	poisonMachines            = 5
)

// playPoison sends a request that crashes servers, restarts the machines in turn, and sends it again. Rule BUDGET.
func playPoison(e *env) (bool, error) {
	if err := e.startMachines(brambati, poisonMachines); err != nil {
		return false, err
	}
	servers, err := e.startServers("centrale-uscite", 11, serverKind{slots: 3, queue: 12, tellsLoad: true, work: 120 * time.Millisecond})
	if err != nil {
		return false, err
	}
	routes := []route{{name: "intervento", prefix: "/intervento/", kind: "unsafe", timeoutMS: 800, targetMS: 300, attempts: 2, service: "centrale-uscite"}}
	if err := e.putConfig(routes, []string{"centrale-uscite"}); err != nil {
		return false, err
	}
	if err := e.awaitAllReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	reached := func(id string) bool {
		for _, s := range servers {
			for _, a := range s.arrived() {
				if a.id == id && !a.refused {
					return true
				}
			}
		}
		return false
	}
	send := func(m *machine) bool {
		r := newRequest(http.MethodPost, "/intervento"+crashPath+"7", 1500*time.Millisecond)
		a := e.exchange(m, r)
		ran := reached(r.id)
		e.record.note("poison %s at %s: answer %d, reached a server: %v", r.id, m.name, a.status, ran)
		return ran
	}
	crashes := 0
	for i := 0; crashes < 3 && i < 12; i++ {
		if send(e.machines[i%poisonMachines]) {
			crashes++
		}
		time.Sleep(time.Second)
	}
	if crashes < 3 {
		return false, errors.New("the request did not crash three servers")
	}
	time.Sleep(contact + 500*time.Millisecond)
	retries := 0
	for _, m := range e.machines {
		if e.trouble {
			m.stop(6 * time.Second)
			time.Sleep(500 * time.Millisecond)
			if err := m.start(); err != nil {
				return false, err
			}
			if err := m.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(contact + 500*time.Millisecond)
		if send(m) {
			retries++
		}
		time.Sleep(500 * time.Millisecond)
	}
	e.record.note("retries that reached servers later than contact-ms after the third crash: %d (at most %d)", retries, maxRetriesAfterThirdCrash)
	return retries > maxRetriesAfterThirdCrash, nil
}
