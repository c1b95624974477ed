package asynclog

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of a Budget.
const (
	// UnsampledLinesPerSecond is the number of lines per second up to which every line is allowed.
	UnsampledLinesPerSecond = 60
	// MaxLinesPerSecond is the number of lines per second from which no line is allowed.
	MaxLinesPerSecond = 120
	// samplingInterval applies between the two limits: one in samplingInterval request ids is allowed.
	samplingInterval = 8
)

// Budget limits the rate of log lines about successful requests, so that they do not displace lines about failures. The
// sampling depends on the request id only, so that all processes log the same requests. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	windowStart time.Time
	allowed     int
}

// Allow reports whether a line about the request with the given id may be written now.
func (b *Budget) Allow(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.windowStart) >= time.Second || now.Before(b.windowStart) {
		b.windowStart, b.allowed = now, 0
	}
	if b.allowed >= MaxLinesPerSecond || b.allowed >= UnsampledLinesPerSecond && xxhash.Sum64String(id)%samplingInterval != 0 {
		return false
	}
	b.allowed++
	return true
}
