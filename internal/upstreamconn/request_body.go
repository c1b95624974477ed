package upstreamconn

import (
	"io"
	"sync/atomic"
)

// requestBody notes when a request body was read to its end, after which only its last bytes are still to be written.
type requestBody struct {
	io.ReadCloser
	left  int64 // declared bytes not yet read; negative if not declared
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left >= 0 {
		b.left = max(0, b.left-int64(n))
	}
	if err == io.EOF || b.left == 0 {
		b.ended.Store(true)
	}
	return n, err
}
