package nodelink

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the opening of a link. The slowest way between zones takes some tens of ms, and a full queue on a slow
	// link 200 ms.
	dialTimeout = 400 * time.Millisecond
	// dialAgain is the time after which another attempt begins beside those that have no answer. A VM without power drops the
	// first packet, which the system repeats only after a second.
	dialAgain = 100 * time.Millisecond
	// redialMin and redialMax bound the pause after a failed attempt, which doubles. When all processes restart at once, nothing
	// is served until the links are open; seven attempts a second cost nothing.
	redialMin = 20 * time.Millisecond
	redialMax = 150 * time.Millisecond
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
	conn, err := overlap(ctx, func(ctx context.Context) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	})
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	_ = newLink(conn, address, true, handler).run(ctx)
	return nil
}

// overlap returns the first connection that an attempt opens. It begins another attempt each dialAgain, for dialTimeout, and
// fails with the first that is refused.
func overlap(ctx context.Context, open func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	const most = int(dialTimeout / dialAgain)
	results := make(chan result, most)
	attempt := func() {
		conn, err := open(ctx)
		results <- result{conn, err}
	}
	again := time.NewTicker(dialAgain)
	defer again.Stop()
	begun := 1
	go attempt()
	for {
		select {
		case <-again.C:
			if begun < most {
				begun++
				go attempt()
			}
		case r := <-results:
			// Attempts that also succeed are not needed.
			go func(rest int) {
				for range rest {
					if late := <-results; late.conn != nil {
						late.conn.Close()
					}
				}
			}(begun - 1)
			return r.conn, r.err
		}
	}
}
