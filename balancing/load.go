package balancing

import "fmt"

// Load is the load that an upstream reports.
type Load struct {
	Running, Waiting int
	// Slots is the number of requests that the upstream runs concurrently. Zero means unknown.
	Slots int
	// Slowdown is the current service time relative to normal: 7 means seven times as long. Zero means unknown.
	Slowdown float64
}

// String returns running, waiting, slots and slowdown, for example "2+0/3x1.0".
func (l Load) String() string {
	return fmt.Sprintf("%d+%d/%dx%.1f", l.Running, l.Waiting, l.Slots, l.Slowdown)
}
