package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// leaveAfter is when clients leave: half of the aim of stato, as give_up has it.
	leaveAfter = 125 * time.Millisecond
	// goneSlack is how long a server may work on.
	goneSlack = 500 * time.Millisecond
	// leaveEvery is the share of the clients that leave: one in leaveEvery, which is 0.2.
	leaveEvery = 5
	// leaveCount requests are sent, one in leavePause, over 5.4 s.
	leaveCount = 90
	leavePause = 60 * time.Millisecond
	// longestStato is the longest work of stato.
	longestStato = 680 * time.Millisecond
)

// playLeave lets a fifth of the clients leave before their answer. All clients ask for the end of their connection after
// one request. Rule GONE.
func playLeave(e *env) (bool, error) {
	if err := e.startMachines(brambati, 4); err != nil {
		return false, err
	}
	servers, err := e.startServers("sportello-stato", 19, serverKind{slots: 3, queue: 12, tellsLoad: true, work: longestStato})
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
	left := make(map[string]time.Time)
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range leaveCount {
		clients.Go(func() {
			m := e.machines[i%len(e.machines)]
			r := newRequest(http.MethodGet, "/stato/a", 1200*time.Millisecond)
			r.close = true
			if !e.trouble || i%leaveEvery != 0 {
				e.exchange(m, r)
				return
			}
			c, err := e.connect(m)
			if err != nil || c.send(r) != nil {
				return
			}
			time.Sleep(leaveAfter)
			c.close()
			e.record.line("the client of %s leaves", r.id)
			mu.Lock()
			defer mu.Unlock()
			left[r.id] = time.Now()
		})
		time.Sleep(leavePause)
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	running, atWork := 0, 0
	for _, s := range servers {
		for _, a := range s.arrived() {
			at, ok := left[a.id]
			// Counted are runs that would have lasted for goneSlack after the client left.
			if !ok || !a.began || a.at.Add(s.work).Before(at.Add(goneSlack)) {
				continue
			}
			running++
			if a.endedAt.After(at.Add(goneSlack)) {
				atWork++
			}
		}
	}
	e.record.note("runs that would have lasted for half a second after their client had left: %d; still at work then: %d", running, atWork)
	return running > 0 && 4*atWork > running, nil
}
