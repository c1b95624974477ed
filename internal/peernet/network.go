package peernet

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
)

// Network manages the connections of one process to its peers. It is safe for concurrent use.
type Network struct {
	cfg       Config
	handler   Handler
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu    sync.Mutex // guards peers and conns
	peers map[string]*peer
	conns map[*quic.Conn]struct{} // open connections
}

// Listen opens the UDP socket and starts to serve peers.
func Listen(cfg Config, handler Handler) (*Network, error) {
	addr, err := net.ResolveUDPAddr("udp", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	tlsConfig := cfg.TLS.Clone()
	tlsConfig.NextProtos = []string{alpnProtocol}
	cfg.TLS = tlsConfig
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(tlsConfig, quicConfig())
	if err != nil {
		socket.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Network{cfg: cfg, handler: handler, socket: socket, transport: transport, listener: listener, ctx: ctx, cancel: cancel, peers: make(map[string]*peer), conns: make(map[*quic.Conn]struct{})}
	for name, address := range cfg.Peers {
		n.addPeer(name, address)
	}
	n.wg.Go(n.acceptLoop)
	return n, nil
}

func (n *Network) addPeer(name, address string) {
	p := &peer{name: name, address: address, network: n, messages: make(chan []byte, messageQueueLength)}
	n.peers[name] = p
	n.wg.Go(p.messageLoop)
}

// Address returns the address on which the network listens.
func (n *Network) Address() string { return n.socket.LocalAddr().String() }

// Close closes all connections and waits until all handlers have returned. It notifies the peers, so that they do not have to
// wait for the idle timeout.
func (n *Network) Close() error {
	n.cancel()
	n.listener.Close()
	n.mu.Lock()
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, conn := range conns {
		conn.CloseWithError(0, "closed")
	}
	n.transport.Close()
	err := n.socket.Close()
	n.wg.Wait()
	return err
}

func (n *Network) peer(name string) *peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers[name]
}

func (n *Network) acceptLoop() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serveAccepted(conn) })
	}
}

func (n *Network) serveAccepted(conn *quic.Conn) {
	name := peerName(conn)
	p := n.peer(name)
	if p == nil {
		n.cfg.Log.Warn("refused a connection from a peer that is not configured", zap.String("peer", name))
		conn.CloseWithError(1, "unknown peer")
		return
	}
	p.setConnIfNone(conn)
	n.serve(p, conn)
}

// serve handles the streams that the peer opens on conn, until the connection ends.
func (n *Network) serve(p *peer, conn *quic.Conn) {
	n.mu.Lock()
	n.conns[conn] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, conn)
	}()
	n.wg.Go(func() { n.acceptUniStreams(p, conn) })
	n.wg.Go(func() { n.closeWhenIdle(p, conn) })
	for {
		s, err := conn.AcceptStream(conn.Context())
		if err != nil {
			p.clearConn(conn)
			return
		}
		n.wg.Go(func() { n.serveStream(p, stream{s}) })
	}
}

func (n *Network) acceptUniStreams(p *peer, conn *quic.Conn) {
	for {
		s, err := conn.AcceptUniStream(n.ctx)
		if err != nil {
			return
		}
		n.wg.Go(func() { n.receiveMessages(p, s) })
	}
}

func (n *Network) receiveMessages(p *peer, s *quic.ReceiveStream) {
	var kind [1]byte
	if _, err := s.Read(kind[:]); err != nil || streamKind(kind[0]) != kindMessages {
		s.CancelRead(abortCode)
		return
	}
	for {
		data, err := readFrame(s, maxMessageBytes)
		if err != nil {
			s.CancelRead(abortCode)
			return
		}
		n.handler.HandleMessage(p.name, data)
	}
}

func (n *Network) serveStream(p *peer, s stream) {
	var kind [1]byte
	if _, err := s.Read(kind[:]); err != nil {
		s.Abort()
		return
	}
	// A handler may return before it has read to the end of the stream. The stream would then stay open, and at maxStreams
	// open streams the peer could not open another.
	defer s.CloseRead()
	switch streamKind(kind[0]) {
	case kindCall:
		n.serveCall(p, s)
	case kindStream:
		n.handler.HandleStream(s.Context(), p.name, s)
	default:
		s.Abort()
	}
}

func (n *Network) serveCall(p *peer, s stream) {
	data, err := readFrame(s, maxCallBytes)
	if err != nil {
		s.Abort()
		return
	}
	// The stream's context ends when the caller cancels the call or the connection is lost.
	response, err := n.handler.HandleCall(s.Context(), p.name, data)
	if err != nil {
		response = append([]byte{callFailed}, err.Error()...)
	} else {
		response = append([]byte{callOK}, response...)
	}
	if err := writeFrame(s, response, maxCallBytes); err != nil {
		s.Abort()
		return
	}
	s.Close()
}

// peerName returns the common name of the peer's certificate, or "" if there is none.
func peerName(conn *quic.Conn) string {
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}
