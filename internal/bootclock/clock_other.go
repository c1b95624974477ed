//go:build !linux

package bootclock

import "time"

var startedAt = time.Now()

// Now returns the time since the process has started. It is for development only: it may not count suspensions.
func Now() time.Duration { return time.Since(startedAt) }
