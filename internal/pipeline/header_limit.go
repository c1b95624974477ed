package pipeline

import (
	"net"

	"github.com/pkg/errors"
)

var errHeaderTooLarge = errors.New("request header exceeds the configured limit")

// headerLimitReader limits the bytes read while remaining is not negative.
type headerLimitReader struct {
	conn      net.Conn
	remaining int64
}

// Read implements io.Reader.
func (l *headerLimitReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if l.remaining > 0 && int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.conn.Read(p)
	if l.remaining > 0 {
		l.remaining -= int64(n)
	}
	return n, err
}
