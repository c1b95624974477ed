package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	warmup       = 3 * time.Second // warmup-s
	warmupFactor = 1.5
	warmupSlack  = 5
)

// playCold turns a server cold while it serves. The servers of the service don't tell their load. Rule FAILBACK.
func playCold(e *env) (bool, error) {
	if err := e.startMachines(brambati, 6); err != nil {
		return false, err
	}
	// One server in each zone, which the two machines of that zone prefer.
	servers, err := e.startServers("sportello-stato", 3, serverKind{slots: 3, queue: 12, work: 30 * time.Millisecond})
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
	for _, m := range e.machines {
		clients.Go(func() {
			for tick := time.NewTicker(40 * time.Millisecond); ; {
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
	time.Sleep(4 * time.Second)
	var coldFrom time.Time
	cold := servers[0]
	if e.trouble {
		cold.mu.Lock()
		coldFrom = time.Now()
		cold.coldUntil = coldFrom.Add(warmup)
		cold.mu.Unlock()
		e.record.note("the server at %s is cold for %v", cold.address, warmup)
	}
	time.Sleep(warmup + time.Second)
	close(stop)
	clients.Wait()
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
