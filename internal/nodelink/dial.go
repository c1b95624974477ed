package nodelink

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the opening of a link. The slowest route between availability zones takes some tens of ms, and a full
	// queue on a slow connection 200 ms.
	dialTimeout = 400 * time.Millisecond
	// dialAttemptDelay is the time after which another attempt begins in parallel to the unanswered ones. If a VM is powered
	// off when the first packet is sent, the packet is lost, and the operating system resends it only after a second.
	dialAttemptDelay = 100 * time.Millisecond
	// redialPauseMin and redialPauseMax bound the pause before a link is opened again, which doubles each time. The maximum is
	// short, because when all processes restart together, no request is served until the links are open. Seven attempts a
	// second cost little.
	redialPauseMin = 20 * time.Millisecond
	redialPauseMax = 150 * time.Millisecond
	// redialPauseReset is how long a link must have lasted to reset the pause to redialPauseMin.
	redialPauseReset = time.Second
)

// KeepConnected opens a link to address, and opens it again whenever it has ended, until ctx ends. It calls onDialError for
// each failed attempt.
func KeepConnected(ctx context.Context, address string, handler Handler, onDialError func(error)) {
	pause := redialPauseMin
	for ctx.Err() == nil {
		start := time.Now()
		if err := dialAndServe(ctx, address, handler); err != nil {
			onDialError(err)
		}
		if time.Since(start) >= redialPauseReset {
			pause = redialPauseMin
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, redialPauseMax)
	}
}

// dialAndServe opens a link and serves it until it ends. It returns an error only if the link was not opened.
func dialAndServe(ctx context.Context, address string, handler Handler) error {
	conn, err := dialOverlapping(ctx, func(ctx context.Context) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	})
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	_ = newLink(conn, address, true, handler).run(ctx)
	return nil
}

// dialOverlapping begins an attempt to connect every dialAttemptDelay until dialTimeout, without cancelling the earlier ones.
// It returns the result of the first attempt that completes, which is an error if the connection was refused.
func dialOverlapping(ctx context.Context, open func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	const maxAttempts = int(dialTimeout / dialAttemptDelay)
	results := make(chan result, maxAttempts)
	attempt := func() {
		conn, err := open(ctx)
		results <- result{conn, err}
	}
	ticker := time.NewTicker(dialAttemptDelay)
	defer ticker.Stop()
	started := 1
	go attempt()
	for {
		select {
		case <-ticker.C:
			if started < maxAttempts {
				started++
				go attempt()
			}
		case r := <-results:
			// Close the connections of other attempts that succeed later.
			go func(rest int) {
				for range rest {
					if late := <-results; late.conn != nil {
						late.conn.Close()
					}
				}
			}(started - 1)
			return r.conn, r.err
		}
	}
}
