package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against long responses that are cut off although the client keeps reading, and against responses that clients keep open.
func TestResponseThatTakesLongerThanTheTimeout(t *testing.T) {
	const length, step = 2 << 20, 4 << 10
	for description, test := range map[string]struct {
		pause    time.Duration // between two reads
		complete bool
	}{
		"twice the least rate": {step * time.Second / (2 * minRate), true},
		"half of it":           {2 * step * time.Second / minRate, false},
	} {
		t.Run(description, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &Server{
					Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						w.Header().Set("Content-Length", fmt.Sprint(length))
						_, _ = w.Write(make([]byte, length)) // the client sees an error
					}),
					IdleTimeout: time.Minute, ReadTimeout: time.Second, MaxHeaderBytes: 4 << 10,
				}
				l := newPipeListener()
				go s.Serve(l)
				defer s.Close()
				c := l.dial()
				defer c.Close()
				fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				resp, err := http.ReadResponse(bufio.NewReaderSize(c, step), nil)
				is.NoErr(err)
				read := int64(0)
				for err == nil {
					time.Sleep(test.pause)
					var n int64
					n, err = io.CopyN(io.Discard, resp.Body, step)
					read += n
				}
				is.Equal(read == length, test.complete)
			})
		})
	}
}
