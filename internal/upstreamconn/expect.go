package upstreamconn

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// expectTimeout is how long a request body waits for 100 Continue. RFC 9110 advises against waiting indefinitely, because
// the upstream may not support the expectation.
const expectTimeout = time.Second

var errBodyNotRequested = errors.New("the upstream responded before it requested the body")

// expectBody is a request body whose first Read waits for 100 Continue.
type expectBody struct {
	io.ReadCloser
	ctx     context.Context
	mu      sync.Mutex
	decided chan struct{}
	refused bool
}

func newExpectBody(ctx context.Context, body io.ReadCloser) *expectBody {
	return &expectBody{ReadCloser: body, ctx: ctx, decided: make(chan struct{})}
}

// Read implements io.Reader.
func (e *expectBody) Read(p []byte) (int, error) {
	select {
	case <-e.decided:
	default:
		timer := time.NewTimer(expectTimeout)
		defer timer.Stop()
		select {
		case <-e.decided:
		case <-timer.C:
			e.accept()
		case <-e.ctx.Done():
			return 0, e.ctx.Err()
		}
	}
	if e.wasRefused() {
		return 0, errBodyNotRequested
	}
	return e.ReadCloser.Read(p)
}

func (e *expectBody) accept() { e.decide(false) }

func (e *expectBody) refuse() { e.decide(true) }

// decide records the first decision. Later ones have no effect.
func (e *expectBody) decide(refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.decided:
	default:
		e.refused = refused
		close(e.decided)
	}
}

func (e *expectBody) wasRefused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}
