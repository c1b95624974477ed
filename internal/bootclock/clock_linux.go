// Package bootclock reads a clock that also counts the time in which the VM was suspended. The monotonic clock of package time does
// not, so that what it takes for recent may be old after a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM has booted.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // cannot happen: every kernel that Go supports has the clock
	}
	return time.Duration(t.Nano())
}
