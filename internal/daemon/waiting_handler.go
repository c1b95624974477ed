package daemon

import (
	"context"

	"github.com/bramleypick/bramleypick/internal/peernet"
)

// waitingHandler delays calls and streams of peers until the daemon has created its components, and drops messages
// until then. The peer network listens before the components that handle its traffic exist, because they depend on it.
type waitingHandler struct {
	ready   <-chan struct{}
	handler peernet.Handler
}

func (h waitingHandler) HandleMessage(from string, data []byte) {
	select {
	case <-h.ready:
		h.handler.HandleMessage(from, data)
	default: // Messages are not reliable and may be dropped.
	}
}

func (h waitingHandler) HandleCall(ctx context.Context, from string, data []byte) ([]byte, error) {
	select {
	case <-h.ready:
		return h.handler.HandleCall(ctx, from, data)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (h waitingHandler) HandleStream(ctx context.Context, from string, s peernet.Stream) {
	select {
	case <-h.ready:
		h.handler.HandleStream(ctx, from, s)
	case <-ctx.Done():
		s.Abort()
	}
}
