package nodelink

import "context"

// Handler receives what arrives on links.
type Handler interface {
	// Opened is called before anything arrives.
	Opened(l *Link)
	// Receive handles a one-way message. It must not block: the next frame is read afterwards.
	Receive(l *Link, m Method, body []byte)
	// Serve answers a call. Each call has a goroutine of its own.
	Serve(ctx context.Context, l *Link, m Method, body []byte) ([]byte, error)
	// Closed is called once, after the last Receive.
	Closed(l *Link, cause error)
}
