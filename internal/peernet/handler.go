package peernet

import (
	"context"
	"io"
	"time"
)

// Handler handles what peers send. Its methods are called concurrently from several goroutines.
type Handler interface {
	// HandleMessage handles a message sent with Send. Messages of one peer arrive in order, except that large ones may be
	// overtaken. It must not block.
	HandleMessage(from string, data []byte)
	// HandleCall serves a call. The caller receives the text of an error as a RemoteError.
	HandleCall(ctx context.Context, from string, data []byte) ([]byte, error)
	// HandleStream serves a stream opened with OpenStream, and returns once it no longer uses the stream.
	HandleStream(ctx context.Context, from string, s Stream)
}

// Stream is a byte stream to a peer. Close closes the sending side.
type Stream interface {
	io.Reader
	io.Writer
	io.Closer
	SetDeadline(t time.Time) error
	// CloseRead discards unread data. A stream counts against the peer's limit until it was read to its end or CloseRead was
	// called, so every user of a stream must call CloseRead or Abort.
	CloseRead()
	// Abort ends both directions before they are complete, which the peer sees as an error.
	Abort()
}
