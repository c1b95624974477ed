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
	net      *Network
	messages chan []byte

	mu   sync.Mutex // guards conn
	conn *quic.Conn
	dial sync.Mutex // held while dialling, so that one dial serves all who wait
}

// adopt uses a connection that the peer opened, if there is none yet.
func (p *peer) adopt(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.Context().Err() != nil {
		p.conn = conn
	}
}

func (p *peer) drop(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
}

func (p *peer) current() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn
	}
	return nil
}

// connect returns the live connection, or dials one.
func (p *peer) connect(ctx context.Context) (*quic.Conn, error) {
	if c := p.current(); c != nil {
		return c, nil
	}
	p.dial.Lock()
	defer p.dial.Unlock()
	if c := p.current(); c != nil {
		return c, nil
	}
	conn, err := p.dialNew(ctx)
	if err != nil {
		return nil, err
	}
	p.adopt(conn)
	p.net.wg.Go(func() { p.net.serve(p, conn) })
	return conn, nil
}

func (p *peer) dialNew(ctx context.Context) (*quic.Conn, error) {
	addr, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return nil, errors.Wrapf(err, "address of peer %s", p.name)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	tlsConfig := p.net.cfg.TLS.Clone()
	tlsConfig.ServerName = addr.IP.String()
	conn, err := p.net.tr.Dial(ctx, addr, tlsConfig, quicConfig())
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
	var out *quic.SendStream
	for {
		select {
		case <-p.net.ctx.Done():
			return
		case data := <-p.messages:
			if len(data) > largeMessageBytes {
				p.net.wg.Go(func() { p.sendLarge(data) })
				continue
			}
			if out == nil || out.Context().Err() != nil {
				out = p.openMessages()
			}
			if out != nil && writeFrame(out, data, maxMessageBytes) != nil {
				out.CancelWrite(abortCode)
				out = nil
			}
		}
	}
}

// sendLarge sends one message on a stream of its own.
func (p *peer) sendLarge(data []byte) {
	out := p.openMessages()
	if out == nil {
		return
	}
	if writeFrame(out, data, maxMessageBytes) != nil {
		out.CancelWrite(abortCode)
		return
	}
	out.Close()
}

func (p *peer) openMessages() *quic.SendStream {
	conn, err := p.connect(p.net.ctx)
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
