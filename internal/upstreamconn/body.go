package upstreamconn

import (
	"bufio"
	"io"
	"net/http"
)

// body tracks whether a response body was read to its end.
type body struct {
	inner      io.Reader
	keepAlive  bool // neither side asked to close the connection
	untilClose bool // only the end of the connection ends the body
	complete   bool
	closed     bool
	err        error // returned by every further Read
}

// begin starts the body of a response whose header was read from r.
func (b *body) begin(resp *http.Response, r *bufio.Reader) {
	b.inner = resp.Body
	if isChunked(resp) && resp.Body != http.NoBody {
		b.inner = newChunkedBody(r)
	}
	b.keepAlive = !resp.Close && !resp.Request.Close
	b.complete = resp.Body == http.NoBody // HEAD, 204, 304, or length 0
	b.untilClose = endsWithConnection(resp)
}

// endsWithConnection reports whether a response declares neither the length of its body nor chunks.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && !isChunked(resp) && resp.Body != http.NoBody
}

func isChunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
}

// read returns io.EOF only at the declared end. inner returns io.ErrUnexpectedEOF if the connection ends earlier. connErr returns
// the error of a connection whose end ends the body.
func (b *body) read(p []byte, connErr func() error) (int, error) {
	n, err := b.inner.Read(p)
	if err == io.EOF && b.untilClose {
		if lost := connErr(); lost != nil {
			err = lost
		}
	}
	if err == io.EOF {
		b.complete, b.err = true, io.EOF
	}
	return n, err
}
