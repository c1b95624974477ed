package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// env is what a case needs: the record, a temporary folder, addresses and the list of processes to end.
type env struct {
	record  *record
	trouble bool
	dir     string
	net     string // the first three bytes of the loopback addresses
	ports   ports

	mu       sync.Mutex
	machines []*machine
	servers  []*server
	sentAt   map[string]time.Time // by attempt id
}

// ports are the ports that all machines use.
type ports struct{ peer, ready, control, directory, front int }

// metricsPort is where every entry process serves its metrics.
const metricsPort = 9180

// maxMachines is the largest number of machines in a case.
const maxMachines = 12

func newEnv(recordPath string, trouble bool) (*env, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	e := &env{record: r, trouble: trouble, dir: dir, sentAt: make(map[string]time.Time)}
	for range 50 {
		e.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(9000)
		e.ports = ports{peer: base, ready: base + 20, control: base + 21, directory: base + 22, front: base + 23}
		if e.portsAreFree() {
			return e, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (e *env) portsAreFree() bool {
	for i := 1; i <= maxMachines; i++ {
		for _, p := range []int{e.ports.peer, e.ports.ready, e.ports.control, e.ports.directory, e.ports.front, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", e.net, i, p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// close ends everything that the case started.
func (e *env) close() {
	e.mu.Lock()
	machines, servers := e.machines, e.servers
	e.mu.Unlock()
	for _, s := range servers {
		s.crash()
	}
	for _, m := range machines {
		m.kill()
	}
	for _, m := range machines {
		m.awaitExit()
	}
	e.record.close()
	_ = os.RemoveAll(e.dir) // a leftover temporary folder does no harm
}

func (e *env) recordSent(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sentAt[id] = time.Now()
}

// sentTime returns when the client sent the request, or the zero time if none did.
func (e *env) sentTime(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sentAt[id]
}
