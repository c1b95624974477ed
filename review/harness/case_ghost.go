package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// silentFor is how long the connections of a machine without power stay open before its process is ended here.
	silentFor = 3 * time.Second
	// namedSlack is how long the directory may name a dead machine: contact-ms + 3 s.
	namedSlack = contact + 3*time.Second
	// maxDeadNamed is the bound of the rule.
	maxDeadNamed = 3
)

// playGhost switches off a machine without a disk and, at the same moment, one with a disk, which comes back. Then it asks the
// directory. Rule DRAIN.
func playGhost(e *env) (bool, error) {
	if err := e.startMachines(brambati, 12); err != nil {
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
	core, lost := e.machines[0], e.machines[3]
	offAt := time.Now()
	if e.trouble {
		// A stopped process is like a machine without power: its peers get no answer and no reset.
		lost.signal(syscall.SIGSTOP)
		core.signal(syscall.SIGSTOP)
		time.Sleep(silentFor)
		lost.kill()
		core.kill()
		lost.awaitExit()
		core.awaitExit()
		offAt = time.Now()
		if err := core.start(); err != nil {
			return false, err
		}
		if err := core.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(offAt.Add(namedSlack + time.Second)))
	named := 0
	for range 10 {
		for _, m := range e.machines {
			if e.trouble && m == lost {
				continue
			}
			addresses := e.resolve(m, core.zone)
			e.record.line("%s names %v", m.name, addresses)
			if e.trouble && len(addresses) > 1 && slices.Contains(addresses, lost.front()) {
				named++
			}
		}
		time.Sleep(time.Second)
	}
	e.record.note("answers of the directory that name the machine that was switched off, beside a running one: %d (at most %d)", named, maxDeadNamed)
	return named > maxDeadNamed, nil
}

// resolve asks the directory of a machine, as a client in a zone does.
func (e *env) resolve(m *machine, zone string) []string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.address(e.ports.directory) + "/resolve?name=" + routeHost + "&region=" + m.site.region + "&zone=" + zone)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&reply) != nil {
		return nil
	}
	return reply.Addresses
}
