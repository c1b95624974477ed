package upstreamconn

import (
	"io"
	"sync/atomic"
)

// requestBody notes when a request body was read to its end, after which only its last bytes are still to be written.
type requestBody struct {
	io.ReadCloser
	remaining int64 // declared bytes not yet read; negative if not declared
	readToEnd atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining >= 0 {
		b.remaining = max(0, b.remaining-int64(n))
	}
	if err == io.EOF || b.remaining == 0 {
		b.readToEnd.Store(true)
	}
	return n, err
}
