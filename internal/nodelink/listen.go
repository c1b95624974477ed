package nodelink

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// acceptPause is the pause after a failure of Accept that may end, such as a lack of file descriptors, so that it is not repeated
// in a busy loop.
const acceptPause = 5 * time.Millisecond

// Limits limit what accepted links take. The zero value has no limits.
type Limits struct {
	// Links is the number of accepted links. Beyond it, a new link displaces the oldest one that has not sent a frame, or is closed.
	Links int
	// FrameBytes is the number of bytes that the frames being read may take together, on all accepted links. A link whose frame does
	// not fit is closed. The calls that are served at the same time may take as much.
	FrameBytes int64
}

// Serve accepts and serves links until ctx ends. It returns once all of them have closed.
func Serve(ctx context.Context, listener net.Listener, handler Handler, limits Limits) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var links sync.WaitGroup
	defer links.Wait()
	accepted := newAcceptedLinks(limits)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if isTransientAcceptError(err) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "accept link")
		}
		l := newLink(conn, conn.RemoteAddr().String(), false, handler)
		if !accepted.add(l) {
			conn.Close()
			continue
		}
		links.Go(func() {
			defer accepted.remove(l)
			_ = l.run(ctx)
		})
	}
}

// isTransientAcceptError reports whether Accept failed for lack of file descriptors or because the other side aborted the
// connection.
func isTransientAcceptError(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}
