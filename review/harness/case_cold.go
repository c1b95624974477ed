package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	warmup       = 3 * time.Second // warmup-s
	warmupFactor = 1.5
	warmupSlack  = 5
	// coldCrashRate is the rate, well above what it tolerates, from which a cold server crashes here.
	coldCrashRate = 38 // requests per second; warmupPerSecond is 9.4
)

// playCold turns a server cold while it serves. The servers of the service don't tell their load. Rule FAILBACK.
func playCold(e *env) (bool, error) {
	if err := e.startMachines(brambati, 6); err != nil {
		return false, err
	}
	// One server in each zone, which the two machines of that zone prefer.
	servers, err := e.startServers("plain-desk", 3, serverKind{slots: 3, queue: 12, work: 30 * time.Millisecond, coldCrash: coldCrashRate})
	if err != nil {
		return false, err
	}
	routes := []route{{name: "callout", prefix: "/callout/", kind: "unsafe", timeoutMS: 1200, targetMS: 250, attempts: 2, service: "plain-desk"}}
	if err := e.putConfig(routes, []string{"plain-desk"}); err != nil {
		return false, err
	}
	if err := e.awaitAllReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var unknown atomic.Int64
	for _, m := range e.machines {
		clients.Go(func() {
			for tick := time.NewTicker(40 * time.Millisecond); ; {
				select {
				case <-tick.C:
					clients.Go(func() {
						r := newRequest(http.MethodPost, "/callout/a", 1200*time.Millisecond)
						if a := e.exchange(m, r); a.status == http.StatusBadGateway || a.status == 0 {
							unknown.Add(1)
						}
					})
				case <-stop:
					tick.Stop()
					return
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	var coldFrom time.Time
	cold := servers[0]
	if e.trouble {
		cold.mu.Lock()
		coldFrom = time.Now()
		cold.coldSince, cold.coldUntil = coldFrom, coldFrom.Add(warmup)
		cold.mu.Unlock()
		e.record.note("the server at %s is cold for %v", cold.address, warmup)
	}
	time.Sleep(warmup + time.Second)
	close(stop)
	clients.Wait()
	e.record.note("callouts whose outcome their clients don't know: %d", unknown.Load())
	bound := warmupPerSecond*warmupFactor + warmupSlack
	most := 0
	if e.trouble {
		most = e.busiestSecond(cold.arrived(), coldFrom, coldFrom.Add(warmup))
	}
	e.record.note("most requests in one second while cold: %d (at most %.1f)", most, bound)
	return float64(most) > bound, nil
}

// busiestSecond returns the most requests that were sent and arrived within one second between from and to.
func (e *env) busiestSecond(arrivals []arrival, from, to time.Time) int {
	most := 0
	for _, first := range arrivals {
		begin := e.sentTime(first.id)
		if begin.Before(from) {
			continue
		}
		n := 0
		for _, a := range arrivals {
			if !a.refused && !e.sentTime(a.id).Before(begin) && a.at.Before(begin.Add(time.Second)) && a.at.Before(to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
