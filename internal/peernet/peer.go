package peernet

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// peer is another process: its connection, and the messages that wait for it.
type peer struct {
	name     string
	address  string
	network  *Network
	messages chan []byte

	mu     sync.Mutex // guards conn
	conn   *quic.Conn
	dialMu sync.Mutex // held while dialling, so that one dial serves all who wait
}

// setConnIfNone uses a connection that the peer opened, if there is none yet.
func (p *peer) setConnIfNone(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.Context().Err() != nil {
		p.conn = conn
	}
}

func (p *peer) clearConn(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
}

func (p *peer) liveConn() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn
	}
	return nil
}

// connect returns the live connection, or dials one.
func (p *peer) connect(ctx context.Context) (*quic.Conn, error) {
	if c := p.liveConn(); c != nil {
		return c, nil
	}
	p.dialMu.Lock()
	defer p.dialMu.Unlock()
	if c := p.liveConn(); c != nil {
		return c, nil
	}
	conn, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.setConnIfNone(conn)
	p.network.wg.Go(func() { p.network.serve(p, conn) })
	return conn, nil
}

func (p *peer) dial(ctx context.Context) (*quic.Conn, error) {
	addr, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return nil, errors.Wrapf(err, "address of peer %s", p.name)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	tlsConfig := p.network.cfg.TLS.Clone()
	tlsConfig.ServerName = addr.IP.String()
	conn, err := p.network.transport.Dial(ctx, addr, tlsConfig, quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", p.name)
	}
	if name := peerName(conn); name != p.name {
		conn.CloseWithError(1, "unexpected name")
		return nil, errors.Errorf("peer at %s is %q, want %q", p.address, name, p.name)
	}
	return conn, nil
}

// messageLoop writes queued messages to one long-lived stream, so that they stay in order.
func (p *peer) messageLoop() {
	var sendStream *quic.SendStream
	for {
		select {
		case <-p.network.ctx.Done():
			return
		case data := <-p.messages:
			if len(data) > largeMessageBytes {
				p.network.wg.Go(func() { p.sendLarge(data) })
				continue
			}
			if sendStream == nil || sendStream.Context().Err() != nil {
				sendStream = p.openMessageStream()
			}
			if sendStream != nil && writeFrame(sendStream, data, maxMessageBytes) != nil {
				sendStream.CancelWrite(abortCode)
				sendStream = nil
			}
		}
	}
}

// sendLarge sends one message on a stream of its own.
func (p *peer) sendLarge(data []byte) {
	sendStream := p.openMessageStream()
	if sendStream == nil {
		return
	}
	if writeFrame(sendStream, data, maxMessageBytes) != nil {
		sendStream.CancelWrite(abortCode)
		return
	}
	sendStream.Close()
}

func (p *peer) openMessageStream() *quic.SendStream {
	conn, err := p.connect(p.network.ctx)
	if err != nil {
		return nil
	}
	s, err := conn.OpenUniStream()
	if err != nil {
		return nil
	}
	if _, err := s.Write([]byte{byte(kindMessages)}); err != nil {
		return nil
	}
	return s
}
