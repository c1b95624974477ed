package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerID       = "Bramleypick-Attempt-Id"
	headerDeadline = "Bramleypick-Deadline-Ms"
	headerTarget   = "Bramleypick-Target-Instance"
	headerDigest   = "Bramleypick-Response-Signature"
)

// execution is a request that a server ran.
type execution struct {
	id, method, target, host, server, service string
	body                                      string
}

// server is a stand-in for an upstream. It serves one request at a time on a connection.
type server struct {
	d                          *deployment
	id, service, zone, address string
	work                       time.Duration
	listener                   net.Listener
	born                       int64
	stopped                    chan struct{}
	// respond writes the response to a request that was run; nil means an ordinary one. It returns false if the connection is to be
	// closed.
	respond func(conn net.Conn, r *http.Request, s *server) bool

	mu    sync.Mutex
	runs  []execution
	conns map[net.Conn]struct{}
}

// addServers starts count servers of a service, spread over the zones.
func (d *deployment) addServers(service string, count int, work time.Duration) error {
	for i := range count {
		s := &server{
			d: d, id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zones[i%len(zones)], work: work,
			born: time.Now().UnixMilli(), stopped: make(chan struct{}), conns: make(map[net.Conn]struct{}),
		}
		if i%2 == 0 {
			s.respond = d.respond
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.prefix, 100+len(d.servers)))
		if err != nil {
			return err
		}
		s.listener, s.address = listener, listener.Addr().String()
		d.servers = append(d.servers, s)
		go s.accept()
		go s.announce()
	}
	return nil
}

func (s *server) stop() {
	close(s.stopped)
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go func() {
			s.serve(conn)
			conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

func (s *server) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.handle(conn, r, body) || r.Close {
			return
		}
	}
}

// handle answers one request. It returns false if the connection is to be closed.
func (s *server) handle(conn net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get(headerID)
	target := r.Header.Get(headerTarget)
	switch {
	case id == "" && r.RequestURI == "/health":
		return write(conn, "HTTP/1.1 200 OK\r\nBramleypick-Instance-Id: %s\r\nBramleypick-Server-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n", s.id)
	case id == "":
		return write(conn, "HTTP/1.1 400 Bad Request\r\nBramleypick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case target != "" && target != s.id:
		return write(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nBramleypick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", headerID, id)
	}
	x := execution{id: id, method: r.Method, target: r.RequestURI, host: r.Host, server: s.id, service: s.service, body: string(body)}
	s.mu.Lock()
	s.runs = append(s.runs, x)
	s.mu.Unlock()
	s.d.record.printf("%s runs %.40q: %s %s, host %s, body of %d bytes", s.id, id, x.method, x.target, x.host, len(body))
	if s.work > 0 {
		time.Sleep(s.work)
	}
	if s.respond != nil {
		return s.respond(conn, r, s)
	}
	return s.answer(conn, id)
}

// answer sends an ordinary response.
func (s *server) answer(conn net.Conn, id string) bool {
	answer := "answer to " + id
	return write(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nBramleypick-Server-Load: 0,0,6,100\r\nContent-Length: %d\r\n\r\n%s",
		headerID, id, headerDigest, digest(s.id, answer), len(answer), answer)
}

// loseAnswers makes half of the servers that are added from now on lose the answer of one in every runs: the connection is reset
// instead.
func (d *deployment) loseAnswers(every int) {
	d.respond = func(conn net.Conn, r *http.Request, s *server) bool {
		s.mu.Lock()
		count := len(s.runs)
		s.mu.Unlock()
		id := r.Header.Get(headerID)
		if count%every != 0 {
			return s.answer(conn, id)
		}
		s.d.record.printf("%s ran %s, its answer is lost", s.id, id)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close resets the connection
		}
		return false
	}
}

// digest returns the digest of a body. It is opaque to clients and to the system.
func digest(server, body string) string {
	h := fnv.New64a()
	io.WriteString(h, server+"/"+body)
	return fmt.Sprintf("%016x", h.Sum64())
}

func write(conn net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(conn, format, args...)
	return err == nil
}

// announce sends liveness reports until the server stops.
func (s *server) announce() {
	for seq := 0; ; seq++ {
		body, err := json.Marshal(map[string]any{
			"address": s.address, "born": s.born,
			"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": 6},
			"status": map[string]any{"state": "ready", "seq": seq, "warmup-left-ms": 0},
		})
		if err != nil {
			panic(err) // cannot happen: the types always encode
		}
		for i := range s.d.nodes {
			status, _, err := s.d.call(s.d.nodes[(seq+i)%len(s.d.nodes)], http.MethodPost, "/Instances.Heartbeat/"+s.id, body)
			if err == nil && status/100 == 2 {
				break
			}
		}
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-s.stopped:
			return
		}
	}
}

// allRuns returns what the servers have run.
func (d *deployment) allRuns() []execution {
	var all []execution
	for _, s := range d.servers {
		s.mu.Lock()
		all = append(all, s.runs...)
		s.mu.Unlock()
	}
	return all
}
