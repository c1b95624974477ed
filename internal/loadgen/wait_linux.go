package loadgen

import (
	"context"
	"syscall"
	"time"
)

// runtimeTimerDelay is how late timers of the Go runtime can fire in an idle process, because the runtime waits in
// epoll with millisecond resolution.
const runtimeTimerDelay = 2 * time.Millisecond

// waitPrecisely waits until the given time without the rounding of the runtime's timers. On a busy machine it can still
// return late; Result.Lateness shows by how much. It blocks an OS thread for the last 2 ms, so it must not
// be used for every request in flight. It returns false if ctx is done first.
func waitPrecisely(ctx context.Context, at time.Time) bool {
	if !sleepUntil(ctx, at.Add(-runtimeTimerDelay)) {
		return false
	}
	if left := time.Until(at); left > 0 {
		ts := syscall.NsecToTimespec(left.Nanoseconds())
		_ = syscall.Nanosleep(&ts, nil) // a sleep that is interrupted ends less than 2 ms early
	}
	return true
}
