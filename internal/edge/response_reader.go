package edge

import (
	"io"
	"math"
	"net/http"

	"github.com/pkg/errors"
)

var errResponseTooLong = errors.New("the response exceeds the limit for one without a declared length")

// responseReader reads the rest of a response body. Without a declared length it fails with errResponseTooLong at
// maxUnframedResponse. Unlike io.LimitReader, it does not present a cut response as complete.
type responseReader struct {
	body io.Reader
	left int64 // bytes
	err  error // the first error other than io.EOF
}

// newResponseReader returns a reader of the rest of a response of which some bytes were read already.
func newResponseReader(resp *http.Response, alreadyRead int) *responseReader {
	r := &responseReader{body: resp.Body, left: math.MaxInt64}
	if resp.ContentLength < 0 {
		r.left = int64(maxUnframedResponse - alreadyRead)
	}
	return r
}

// Read implements io.Reader.
func (r *responseReader) Read(p []byte) (int, error) {
	n, err := 0, errResponseTooLong
	if r.left > 0 {
		n, err = r.body.Read(p[:min(int64(len(p)), r.left)])
	}
	r.left -= int64(n)
	if err != nil && err != io.EOF && r.err == nil {
		r.err = err
	}
	return n, err
}
