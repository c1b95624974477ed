package upstreamconn

import "context"

type roomKey struct{}

// WithRoom returns a context for Exchange. reserve is called with the bytes of memory that a response header with unusually many
// lines takes, before it is parsed; the exchange fails with ErrNoRoom if it returns false.
func WithRoom(ctx context.Context, reserve func(n int64) bool) context.Context {
	return context.WithValue(ctx, roomKey{}, reserve)
}

func roomFrom(ctx context.Context) func(n int64) bool {
	reserve, _ := ctx.Value(roomKey{}).(func(n int64) bool)
	return reserve
}
