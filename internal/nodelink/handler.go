package nodelink

import "context"

// Handler handles the events of links.
type Handler interface {
	// Opened is called once, before the first Receive or Serve of a link. An accepted link opens with its first frame.
	Opened(l *Link)
	// Receive handles a one-way message. It must not block, because the next frame is read only after it returns.
	Receive(l *Link, m Method, body []byte)
	// Serve serves a call. Each call has its own goroutine.
	Serve(ctx context.Context, l *Link, m Method, body []byte) ([]byte, error)
	// Closed is called once after the last Receive, if the link was opened.
	Closed(l *Link, cause error)
}
