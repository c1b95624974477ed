package nodelink

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the opening of a link; the slowest way between zones takes some tens of ms.
	dialTimeout = 400 * time.Millisecond
	// redialMin and redialMax bound the pause after a failed attempt, which doubles. When all processes restart at once, nothing
	// is served until the links are open; three attempts a second cost nothing.
	redialMin = 40 * time.Millisecond
	redialMax = 300 * time.Millisecond
	// stableAfter is how long a link must have lasted for the pause to start anew.
	stableAfter = time.Second
)

// Keep opens a link to address again and again until ctx ends. Failed is called for each attempt that opened none.
func Keep(ctx context.Context, address string, handler Handler, failed func(error)) {
	pause := redialMin
	for ctx.Err() == nil {
		began := time.Now()
		if err := dial(ctx, address, handler); err != nil {
			failed(err)
		}
		if time.Since(began) >= stableAfter {
			pause = redialMin
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, redialMax)
	}
}

func dial(ctx context.Context, address string, handler Handler) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	_ = newLink(conn, address, true, handler).run(ctx)
	return nil
}
