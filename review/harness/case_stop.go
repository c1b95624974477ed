package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// Figures of crutchback-south-grown.
const (
	stopGrace = 6 * time.Second // grace-s
	// checkInDeadline is the deadline of the clients of check-in, and checkInTimeout the timeout-ms of its route.
	checkInDeadline = 3 * time.Second
	checkInTimeout  = 2 * time.Second
	// longestCheckIn is within the longest work of check-in, 2,000 ms.
	longestCheckIn = "1950"
	// lateFrom is when the requests are sent after SIGTERM. The rule excuses those sent within 3 s.
	lateFrom  = 3550 * time.Millisecond
	lateEvery = 20 * time.Millisecond
	lateCount = 12
)

// playStop stops one machine as planned work, and sends check-ins that clients with an old reply of the directory still
// send there. Rule LOST.
func playStop(e *env) (bool, error) {
	if err := e.startMachines(crutchbackGrown, 4); err != nil {
		return false, err
	}
	servers, err := e.startServers("return-desk", 6, serverKind{slots: 6, queue: 12, tellsLoad: true, work: 330 * time.Millisecond})
	if err != nil {
		return false, err
	}
	routes := []route{{name: "check-in", prefix: "/check-in/", kind: "unsafe", timeoutMS: int(checkInTimeout.Milliseconds()), targetMS: 800, attempts: 2, service: "return-desk"}}
	if err := e.putConfig(routes, []string{"return-desk"}); err != nil {
		return false, err
	}
	if err := e.awaitAllReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch, all servers warm
	victim := e.machines[3]
	var conns []*clientConn
	for range lateCount {
		c, err := e.connect(victim)
		if err != nil {
			return false, err
		}
		defer c.close()
		r := newRequest(http.MethodPost, "/check-in/short", checkInDeadline)
		if err := c.send(r); err != nil {
			return false, err
		}
		if a := c.receive(r); !a.success {
			return false, errors.New("a check-in before the stop was not answered")
		}
		conns = append(conns, c)
	}
	stopAt := time.Now()
	if e.trouble {
		go victim.stop(stopGrace)
		stopAt = time.Now()
	}
	type sent struct {
		request
		at     time.Time
		answer answer
	}
	var (
		mu  sync.Mutex
		all []sent
		wg  sync.WaitGroup
	)
	for i := range lateCount {
		wg.Go(func() {
			time.Sleep(time.Until(stopAt.Add(lateFrom + time.Duration(i)*lateEvery)))
			r := newRequest(http.MethodPost, "/check-in/long?work="+longestCheckIn, checkInDeadline)
			s := sent{request: r, at: time.Now()}
			if i%2 == 0 { // on a kept connection
				if s.answer.err = conns[i].send(r); s.answer.err == nil {
					s.answer = conns[i].receive(r)
				}
			} else {
				s.answer = e.exchange(victim, r)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		})
	}
	wg.Wait()
	broken := 0
	for _, s := range all {
		for _, server := range servers {
			for _, a := range server.arrived() {
				if a.id != s.id {
					continue
				}
				e.record.note("check-in %s: sent %.3f s after SIGTERM, reached a server, answer %d after %.3f s (%v)", s.id,
					s.at.Sub(stopAt).Seconds(), s.answer.status, s.answer.at.Sub(s.at).Seconds(), s.answer.err)
				if s.answer.status == 0 && s.answer.at.Sub(s.at) < checkInTimeout {
					broken++
				}
			}
		}
	}
	e.record.note("check-ins that reached a server and whose connection ended without an answer, before the timeout of the route: %d of %d sent",
		broken, len(all))
	return broken > 0, nil
}
