package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	evacuationDelay = 5 * time.Second // evacuation-delay-ms
	// frozenFor is how long the machine of the core stands still.
	frozenFor = time.Second
)

// playStale freezes a machine of the core while one operator takes a zone back, and another one empties it again. Rule EVAC.
func playStale(e *env) (bool, error) {
	if err := e.startMachines(brambati, 6); err != nil {
		return false, err
	}
	servers, err := e.startServers("sportello-stato", 9, serverKind{slots: 3, queue: 12, tellsLoad: true, work: 90 * time.Millisecond})
	if err != nil {
		return false, err
	}
	routes := []route{{name: "stato", prefix: "/stato/", kind: "safe", timeoutMS: 1200, targetMS: 250, attempts: 2, service: "sportello-stato"}}
	if err := e.putConfig(routes, []string{"sportello-stato"}); err != nil {
		return false, err
	}
	if err := e.awaitAllReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	for _, m := range e.machines {
		clients.Go(func() {
			for tick := time.NewTicker(100 * time.Millisecond); ; {
				select {
				case <-tick.C:
					clients.Go(func() { e.exchange(m, newRequest(http.MethodGet, "/stato/a", 1200*time.Millisecond)) })
				case <-stop:
					tick.Stop()
					return
				}
			}
		})
	}
	// The frozen machine doesn't lead. The order is sent to the other machine of its zone.
	frozen := e.machines[0]
	if e.leads(frozen) {
		frozen = e.machines[1]
	}
	neighbour := e.machines[frozen.index+coreSize-1]
	elsewhere := e.machines[coreSize+(frozen.index%3)]
	zone := servers[0].zone
	if _, err := e.order(neighbour, "Evacuations.Start", zone); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var thawedAt time.Time
	thawed := make(chan struct{})
	if e.trouble {
		frozen.signal(syscall.SIGSTOP)
		time.AfterFunc(frozenFor, func() {
			frozen.signal(syscall.SIGCONT)
			thawedAt = time.Now()
			close(thawed)
		})
	} else {
		close(thawed)
	}
	if _, err := e.order(neighbour, "Evacuations.End", zone); err != nil {
		return false, err
	}
	ackAt, err := e.order(elsewhere, "Evacuations.Start", zone)
	if err != nil {
		return false, err
	}
	<-thawed
	from := ackAt.Add(evacuationDelay)
	if t := thawedAt.Add(contact); t.After(from) {
		from = t
	}
	time.Sleep(time.Until(from.Add(5 * time.Second)))
	late := 0
	for _, s := range servers {
		if s.zone != zone {
			continue
		}
		for _, a := range s.arrived() {
			if !a.refused && a.at.After(from) {
				late++
			}
		}
	}
	if e.trouble {
		e.record.note("the evacuation was acknowledged %.3f s before the machine went on", thawedAt.Sub(ackAt).Seconds())
	}
	e.record.note("requests that reached servers of %s later than evacuation-delay-ms after that ack: %d", zone, late)
	return late > 0, nil
}

// order sends an order of the operator, to the given machine first, until it is acknowledged.
func (e *env) order(first *machine, call, zone string) (time.Time, error) {
	for i := range len(e.machines) {
		m := e.machines[(first.index-1+i)%len(e.machines)]
		e.record.line("operator sends %s %s to %s", call, zone, m.name)
		status, _ := post(context.Background(), "http://"+m.control()+"/"+call+"/"+zone, nil)
		at := time.Now()
		e.record.line("operator gets %d from %s", status, m.name)
		if status/100 == 2 {
			return at, nil
		}
	}
	return time.Time{}, errors.New("an order was not acknowledged")
}

// leads reports whether the machine's process leads the control group.
func (e *env) leads(m *machine) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.address(metricsPort) + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), "gauge control.leader\n  value:")
	value, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(value) == "1"
}
