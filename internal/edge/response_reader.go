package edge

import (
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var errResponseTooLong = errors.New("the response exceeds the limit for one without a declared length")

// responseReader reads the rest of a response body. Without a declared length it fails with errResponseTooLong at
// maxUnframedResponse. Unlike io.LimitReader, it does not present a cut response as complete.
type responseReader struct {
	body io.Reader
	left int64 // bytes
	err  error // the first error other than io.EOF

	mu           sync.Mutex
	waitingSince time.Time // start of the current Read; zero if there is none
}

// newResponseReader returns a reader of the rest of a response of which some bytes were read already.
func newResponseReader(resp *http.Response, alreadyRead int) *responseReader {
	r := &responseReader{body: resp.Body, left: math.MaxInt64}
	if resp.ContentLength < 0 {
		r.left = int64(maxUnframedResponse - alreadyRead)
	}
	return r
}

// cancelIfSilent calls cancel once the deadline has passed and the upstream has sent nothing for maxSilence. A response that still
// arrives is delivered although it is late. It returns a function that ends the observation.
func (r *responseReader) cancelIfSilent(deadline time.Time, cancel func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		timer := time.NewTimer(max(time.Until(deadline), maxSilence))
		defer timer.Stop()
		for {
			select {
			case <-timer.C:
			case <-done:
				return
			}
			left := maxSilence - r.silentFor(time.Now())
			if left <= 0 {
				cancel()
				return
			}
			timer.Reset(left)
		}
	}()
	return func() { close(done) }
}

// silentFor returns how long Read has been waiting.
func (r *responseReader) silentFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(r.waitingSince)
}

func (r *responseReader) setWaitingSince(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitingSince = at
}

// Read implements io.Reader.
func (r *responseReader) Read(p []byte) (int, error) {
	n, err := 0, errResponseTooLong
	if r.left > 0 {
		r.setWaitingSince(time.Now())
		n, err = r.body.Read(p[:min(int64(len(p)), r.left)])
		r.setWaitingSince(time.Time{})
	}
	r.left -= int64(n)
	if err != nil && err != io.EOF && r.err == nil {
		r.err = err
	}
	return n, err
}
