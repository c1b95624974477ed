package peernet

import (
	"context"
	"io"
	"time"
)

// Handler receives what peers send. Its methods are called on goroutines of their own.
type Handler interface {
	// HandleMessage receives a message that was sent with Send. Messages of one peer arrive in order; it must not block.
	HandleMessage(from string, data []byte)
	// HandleCall answers a call. An error reaches the caller as text.
	HandleCall(ctx context.Context, from string, data []byte) ([]byte, error)
	// HandleStream serves a stream that was opened with OpenStream and returns when it is done with it.
	HandleStream(ctx context.Context, from string, s Stream)
}

// Stream is a byte stream to a peer. Close ends the sending side.
type Stream interface {
	io.Reader
	io.Writer
	io.Closer
	SetDeadline(t time.Time) error
	// CloseRead drops what was not read. A stream counts against the peer's limit until its end was read or CloseRead was
	// called, so every user of a stream calls it or Abort.
	CloseRead()
	// Abort tells the peer that both directions ended before they were complete.
	Abort()
}
