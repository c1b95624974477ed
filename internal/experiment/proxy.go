package experiment

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// proxyMode is the fault that a faultProxy injects into connections.
type proxyMode int32

const (
	proxyPass             proxyMode = iota
	proxyDelay                      // the data of each read is forwarded after proxyDelayTime
	proxyDropToUpstream             // data to the upstream is silently dropped
	proxyDropFromUpstream           // data from the upstream is silently dropped
	proxyDropBoth                   // data in both directions is silently dropped
	proxyReset                      // open and new connections are reset
	proxyModeCount
)

// String describes the mode for a report.
func (m proxyMode) String() string {
	return [proxyModeCount]string{
		"pass", "delay", "drop data to the upstream", "drop data from the upstream", "drop data in both directions", "reset",
	}[m]
}

// proxyDelayTime is longer than the 12 ms that "bramleypick entry" allows a probe on a fast link. It is shorter than the
// probe timeout of "bramleypick run" (1 s), which the soak runs, and than the timeouts of requests (4 s or more).
const proxyDelayTime = 60 * time.Millisecond

// faultProxy forwards the connections to one upstream and injects faults into them according to its mode.
type faultProxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newFaultProxy starts a proxy that listens on address and forwards to target.
func newFaultProxy(address, target string) (*faultProxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "start fault proxy")
	}
	p := &faultProxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// addProxies starts a proxy in front of each of count upstreams. The upstreams listen on consecutive ports, and listen is
// the address of the first one. It returns args with the flag that makes the upstreams announce the proxies' addresses.
func (d *deployment) addProxies(args []string, listen string, count int) ([]string, error) {
	first, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, errors.Wrap(err, "parse upstream address")
	}
	announce := fmt.Sprintf("127.0.0.1:%d", d.nextPort)
	for i := range count {
		target := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
		p, err := newFaultProxy(fmt.Sprintf("127.0.0.1:%d", d.nextPort), target)
		if err != nil {
			return nil, err
		}
		d.proxies = append(d.proxies, p)
		d.nextPort++
	}
	return append(args, "--announce", announce), nil
}

func (p *faultProxy) setMode(m proxyMode) {
	p.mode.Store(int32(m))
	if m == proxyReset {
		p.resetAll()
	}
}

func (p *faultProxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
	clear(p.conns)
}

// reset closes a connection with a TCP reset. Errors are ignored: they mean that the connection has already ended.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func (p *faultProxy) close() {
	p.listener.Close()
	p.resetAll()
}

func (p *faultProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *faultProxy) serve(client net.Conn) {
	if proxyMode(p.mode.Load()) == proxyReset {
		reset(client)
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(upstream, client, proxyDropToUpstream) })
	copies.Go(func() { p.copy(client, upstream, proxyDropFromUpstream) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copy forwards one direction until either side closes. dropMode is the mode in which this direction is dropped.
func (p *faultProxy) copy(to, from net.Conn, dropMode proxyMode) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch proxyMode(p.mode.Load()) {
		case dropMode, proxyDropBoth:
			// After dropped bytes nothing may be forwarded on this connection: the receiver would see a stream with a gap.
			p.discard(from)
			return
		case proxyDelay:
			time.Sleep(proxyDelayTime)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// discard reads and drops data until the sender closes the connection.
func (p *faultProxy) discard(from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}
