package peernet

import (
	"context"

	"github.com/pkg/errors"
)

// ErrUnknownPeer is returned for a peer name that is not configured.
var ErrUnknownPeer = errors.New("peernet: unknown peer")

// RemoteError is an error returned by the peer's handler, so the peer received the call.
type RemoteError struct {
	Message string
}

// Error returns the peer's error text.
func (e *RemoteError) Error() string { return e.Message }

// Send queues a message for a peer. It never blocks: if the peer's queue is full, or the peer is unknown, it drops the
// message.
func (n *Network) Send(to string, data []byte) {
	p := n.peer(to)
	if p == nil {
		return
	}
	select {
	case p.messages <- data:
	default:
	}
}

// Call sends data to a peer and returns its response. After an error other than RemoteError and ErrUnknownPeer it is unknown
// whether the peer received the call.
func (n *Network) Call(ctx context.Context, to string, data []byte) ([]byte, error) {
	s, err := n.open(ctx, to, kindCall)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := writeFrame(s, data, maxCallBytes); err != nil {
		s.Abort()
		return nil, callError(ctx, errors.Wrapf(err, "call to peer %s", to))
	}
	s.Close()
	response, err := readFrame(s, maxCallBytes)
	s.CloseRead()
	if err != nil || len(response) == 0 {
		s.Abort()
		return nil, callError(ctx, errors.Wrapf(err, "call to peer %s", to))
	}
	if response[0] != callOK {
		return nil, &RemoteError{Message: string(response[1:])}
	}
	return response[1:], nil
}

// OpenStream opens a byte stream to a peer.
func (n *Network) OpenStream(ctx context.Context, to string) (Stream, error) {
	return n.open(ctx, to, kindStream)
}

func (n *Network) open(ctx context.Context, to string, kind streamKind) (stream, error) {
	p := n.peer(to)
	if p == nil {
		return stream{}, errors.Wrap(ErrUnknownPeer, to)
	}
	conn, err := p.connect(ctx)
	if err != nil {
		return stream{}, err
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return stream{}, errors.Wrapf(err, "open a stream to peer %s", to)
	}
	if _, err := s.Write([]byte{byte(kind)}); err != nil {
		return stream{}, errors.Wrapf(err, "open a stream to peer %s", to)
	}
	return stream{s}, nil
}

// callError returns the context's error if ctx has ended, and otherwise err. A nil err means that the response was empty.
func callError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil {
		return errors.New("peernet: empty response")
	}
	return err
}
