package upstreamconn

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// body tracks how far a response body was read.
type body struct {
	inner    io.Reader
	left     int64 // declared bytes not yet read; negative if not declared
	keep     bool  // the upstream and the request keep the connection open
	complete bool
	closed   bool
	err      error // result of every further Read
}

func (b *body) begin(resp *http.Response) {
	b.inner, b.left = resp.Body, resp.ContentLength
	b.keep = !resp.Close && !resp.Request.Close
	if resp.Body == http.NoBody { // HEAD, 204, 304, or length 0
		b.left, b.complete = -1, true
	}
}

// read returns io.EOF only at the declared end.
func (b *body) read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if err == io.EOF && b.left > 0 {
		err = errors.Errorf("%d bytes of the body are missing", b.left)
	}
	if err == io.EOF {
		b.complete, b.err = true, io.EOF
	}
	return n, err
}
