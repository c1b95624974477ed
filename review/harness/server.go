package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// warmupPerSecond is the number of requests per second that a cold server tolerates.
	warmupPerSecond = 9.4
	// crashPath is part of the path of a request that crashes each server that begins to run it.
	crashPath = "/crash/"
)

// serverKind is what the servers of one service have in common.
type serverKind struct {
	slots     int
	queue     int
	tellsLoad bool
	work      time.Duration
	zones     []string // of the servers; empty means the machines' zones in turn
	// coldCrash is the number of requests in one second from which a cold server crashes. Zero means never.
	coldCrash int
}

// server is a server of a service. It follows PROTOCOL.md.
type server struct {
	serverKind
	env     *env
	service string
	zone    string
	address string

	mu        sync.Mutex
	id        string
	born      int64
	seq       int
	leaving   bool
	beating   bool
	coldSince time.Time
	coldUntil time.Time
	running   int
	waiting   int
	freed     chan struct{}
	http      *http.Server
	beatAddr  string
	stopBeats context.CancelFunc
	arrivals  []arrival
}

// arrival is a request that reached the server.
type arrival struct {
	at      time.Time
	id      string // attempt id
	from    string // address of the machine
	refused bool   // for another server
	began   bool
	// endedAt is when the server stopped work on it.
	endedAt time.Time
	whole   bool // the run came to its end
}

// startServers starts n servers of a service.
func (e *env) startServers(service string, n int, kind serverKind) ([]*server, error) {
	var started []*server
	for i := range n {
		zones := kind.zones
		if len(zones) == 0 {
			zones = e.machines[0].site.zones
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", e.net, 100+i%100))
		if err != nil {
			return nil, err
		}
		s := &server{serverKind: kind, env: e, service: service, zone: zones[i%len(zones)], address: l.Addr().String()}
		s.begin(l)
		e.mu.Lock()
		e.servers = append(e.servers, s)
		e.mu.Unlock()
		started = append(started, s)
	}
	return started, nil
}

// begin starts a new incarnation on a listener.
func (s *server) begin(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.born, s.seq = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0
	s.leaving, s.beating, s.running, s.waiting, s.freed = false, true, 0, 0, make(chan struct{})
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeats = cancel
	go func(h *http.Server) { _ = h.Serve(l) }(s.http) // ends with http.ErrServerClosed
	go s.beat(ctx)
	s.env.record.line("server %s (%s at %s, %s) starts", s.id, s.service, s.address, s.zone)
}

// crash ends the process of the server: connections and the listener are closed, and nothing is announced.
func (s *server) crash() {
	s.mu.Lock()
	h, stop := s.http, s.stopBeats
	s.http = nil
	s.mu.Unlock()
	if h == nil {
		return
	}
	stop()
	_ = h.Close() // the sockets are closed in any case
}

// comeBack starts a new incarnation at the same address after a pause.
func (s *server) comeBack(after time.Duration) {
	time.AfterFunc(after, func() {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			s.env.record.line("server at %s could not come back: %v", s.address, err)
			return
		}
		s.begin(l)
	})
}

func (s *server) identity() (id string, leaving bool, warmup time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.leaving, max(0, time.Until(s.coldUntil))
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id, leaving, warmup := s.identity()
	if r.URL.Path == "/health" {
		w.Header().Set("Bramleypick-Instance-Id", id)
		if warmup > 0 {
			w.Header().Set("Bramleypick-Warmup-Ms", strconv.FormatInt(warmup.Milliseconds(), 10))
		}
		s.addLoad(w)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get("Bramleypick-Attempt-Id")
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	a := arrival{at: at, id: attempt, from: from}
	w.Header().Set("Bramleypick-Attempt-Id", attempt)
	switch {
	case attempt == "":
		w.Header().Set("Bramleypick-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Bramleypick-Target-Instance") != "" && r.Header.Get("Bramleypick-Target-Instance") != id:
		a.refused = true
		s.add(a)
		w.Header().Set("Bramleypick-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	index := s.add(a)
	if s.overrun(at) {
		s.env.record.note("the cold server at %s crashes", s.address)
		s.crash()
		return
	}
	s.env.record.line("request %s reaches server %s from %s, deadline %s", attempt, id, from, r.Header.Get("Bramleypick-Deadline-Ms"))
	_, _ = io.Copy(io.Discard, r.Body) // a failed read ends the context below
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Bramleypick-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !s.takeSlot(ctx) {
		w.Header().Set("Bramleypick-Not-Executed", "1")
		s.addLoad(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.freeSlot()
	if strings.Contains(r.URL.Path, crashPath) {
		s.env.record.line("request %s crashes server %s", attempt, id)
		s.crash()
		s.comeBack(4 * time.Second)
		return
	}
	work := s.work
	if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		work = time.Duration(ms) * time.Millisecond // stands for the request's own cost
	}
	s.update(index, func(a *arrival) { a.began = true })
	s.env.record.line("server %s runs %s", id, attempt)
	whole := true
	select {
	case <-time.After(work):
	case <-ctx.Done():
		whole = false
	}
	s.update(index, func(a *arrival) { a.endedAt, a.whole = time.Now(), whole })
	switch {
	case !whole && errors.Is(ctx.Err(), context.Canceled):
		s.env.record.line("server %s drops %s: its connection was closed", id, attempt)
		return
	case !whole:
		s.env.record.line("server %s ends %s at its deadline", id, attempt)
		w.Header().Set("Bramleypick-Response-Signature", signature(attempt))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.env.record.line("server %s answers %s with 200", id, attempt)
	w.Header().Set("Bramleypick-Response-Signature", signature(attempt))
	s.addLoad(w)
	_, _ = fmt.Fprintf(w, "done %s\n", attempt) // the gateway may have closed the connection
}

func signature(attempt string) string { return "3e1b.07.5a2." + attempt }

func (s *server) addLoad(w http.ResponseWriter) {
	if !s.tellsLoad {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Bramleypick-Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots))
}

func (s *server) add(a arrival) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
	return len(s.arrivals) - 1
}

// overrun reports whether a cold server gets more requests than it survives.
func (s *server) overrun(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coldCrash == 0 || now.After(s.coldUntil) {
		return false
	}
	n := 0
	for i := len(s.arrivals) - 1; i >= 0 && now.Sub(s.arrivals[i].at) < time.Second; i-- {
		if s.arrivals[i].at.After(s.coldSince) {
			n++
		}
	}
	return n > s.coldCrash
}

func (s *server) update(index int, change func(*arrival)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.arrivals[index])
}

// arrived returns a copy of the requests that reached the server.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// takeSlot waits in the server's queue. It returns false if the queue is full or the deadline passes.
func (s *server) takeSlot(ctx context.Context) bool {
	s.mu.Lock()
	if s.running >= s.slots && s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	for s.running >= s.slots {
		freed := s.freed
		s.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			break
		}
	}
	defer s.mu.Unlock()
	s.waiting--
	if ctx.Err() != nil {
		return false
	}
	s.running++
	return true
}

func (s *server) freeSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.freed)
	s.freed = make(chan struct{})
}

// beat sends liveness reports.
func (s *server) beat(ctx context.Context) {
	for {
		s.announce(ctx)
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
			return
		}
	}
}

// announce sends one liveness report, to the next node if one fails.
func (s *server) announce(ctx context.Context) {
	s.mu.Lock()
	if !s.beating {
		s.mu.Unlock()
		return
	}
	s.seq++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	id, addr := s.id, s.beatAddr
	body, err := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "seq": s.seq, "warmup-left-ms": max(0, time.Until(s.coldUntil).Milliseconds())},
	})
	s.mu.Unlock()
	if err != nil {
		return
	}
	for range 6 {
		if addr == "" {
			addr = s.env.machines[rand.IntN(len(s.env.machines))].control()
		}
		status, answer := post(ctx, "http://"+addr+"/Instances.Heartbeat/"+id, body)
		if status/100 == 2 {
			var reply struct {
				Addr string `json:"heartbeat-addr"`
			}
			_ = json.Unmarshal(answer, &reply) // the field is optional
			if reply.Addr != "" {
				addr = reply.Addr
			}
			s.mu.Lock()
			s.beatAddr = addr
			s.mu.Unlock()
			return
		}
		addr = ""
		if ctx.Err() != nil {
			return
		}
	}
}

// deregister sends the deregistration until it is acknowledged, and returns when and by whom it was.
func (s *server) deregister() (at time.Time, by *machine, err error) {
	s.mu.Lock()
	s.leaving, s.beating = true, false
	id := s.id
	s.mu.Unlock()
	for i := range 10 {
		m := s.env.machines[i%len(s.env.machines)]
		status, _ := post(context.Background(), "http://"+m.control()+"/Instances.Deregister/"+id, nil)
		at := time.Now()
		s.env.record.line("server %s: Deregister at %s: %d", id, m.name, status)
		if status/100 == 2 {
			return at, m, nil
		}
	}
	return time.Time{}, nil, errors.New("the deregistration was not acknowledged")
}

// post returns the status and body of a call, or 0 if there is no answer within a second.
func post(ctx context.Context, url string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}
