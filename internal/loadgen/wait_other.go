//go:build !linux

package loadgen

import (
	"context"
	"time"
)

// waitPrecisely waits until the given time. It returns false if ctx is done first.
func waitPrecisely(ctx context.Context, at time.Time) bool {
	return sleepUntil(ctx, at)
}
