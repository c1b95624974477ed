package pipeline

import (
	"io"
	"time"
)

const (
	// minRate is the mean rate in bytes per second at which a body has to arrive that takes longer than Server.ReadTimeout, and at which a
	// client has to read a response that takes longer than writeTimeout. A link of 0.2 Mbit/s is faster.
	minRate = 16 << 10
	// progressStep is the number of bytes after which the deadline of a body is moved.
	progressStep = 4 << 10
)

// timeAtMinRate returns the time that some bytes take at minRate.
func timeAtMinRate(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / minRate * float64(time.Second))
}

// bodyProgress moves the deadline of a request while its body arrives.
type bodyProgress struct {
	from             io.Reader
	conn             *conn
	length, extended int64 // bytes that have arrived, in all and when the deadline was moved last
}

// Read implements io.Reader.
func (b *bodyProgress) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.length += int64(n)
	if b.length-b.extended >= progressStep {
		b.extended = b.length
		b.conn.extendRead(b.length)
	}
	return n, err
}
