package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/resultcode"
)

// Guards against a caller taking a wrong or incomplete response for its own.
func TestInvariantResponseIntegrity(t *testing.T) {
	long := strings.Repeat("sensor log ", 20_000)
	both := func(changes ...func(*http.Response)) func(*http.Response) {
		return func(resp *http.Response) {
			for _, change := range changes {
				change(resp)
			}
		}
	}
	echo := func(id string) func(*http.Response) {
		return func(resp *http.Response) { resp.Header.Set(headerRequestID, id) }
	}
	rows := []struct {
		description string
		serve       behaviour
		code        resultcode.Code
		body        string // Of a response that is complete.
		aborted     bool
	}{
		{"short", changed(http.StatusOK, "fine", echo("")), 0, "fine", false},
		{"long", changed(http.StatusOK, long, func(*http.Response) {}), 0, long, false},
		{"long, chunked", changed(http.StatusOK, long, chunked), 0, long, false},
		{"echo of another request", changed(http.StatusOK, "fine", echo("other")), resultcode.BrokenResponse, "", false},
		{"echo of the caller's id instead of the try's", changed(http.StatusOK, "fine", echo("id-1")), resultcode.BrokenResponse, "", false},
		{"no echo", changed(http.StatusOK, "fine", func(r *http.Response) { r.Header.Del(headerRequestID) }), 0, "fine", false},
		{"short body cut", changed(http.StatusOK, "fine", cutAfter(2)), resultcode.BrokenResponse, "", false},
		{"short body ends early", changed(http.StatusOK, "fine", func(r *http.Response) { r.ContentLength = 9 }),
			resultcode.BrokenResponse, "", false},
		{"long body cut", changed(http.StatusOK, long, cutAfter(len(long)/2)), 0, "", true},
		{"long body ends early", changed(http.StatusOK, long, func(r *http.Response) { r.ContentLength++ }), 0, "", true},
		{"long body cut before its first byte", changed(http.StatusOK, long, cutAfter(0)), resultcode.BrokenResponse, "", false},
		{"chunked body cut", changed(http.StatusOK, long, both(chunked, cutAfter(len(long)/2))), 0, "", true},
		{"no length and not chunked", changed(http.StatusOK, "fine", func(r *http.Response) { r.ContentLength = -1 }),
			resultcode.BrokenResponse, "", false},
		{"not a final response", changed(http.StatusEarlyHints, "", echo("")), resultcode.BrokenResponse, "", false},
	}
	for _, row := range rows {
		for _, forwarded := range []bool{false, true} {
			t.Run(row.description+map[bool]string{true: ", from a peer"}[forwarded], func(t *testing.T) {
				inWorld(t, func(w *world) {
					if forwarded {
						w.peerServes(row.serve)
					} else {
						w.only("n1")
						w.upstream("n1").set(row.serve)
					}
					got := w.do(http.MethodGet, "/desk/level", headerRequestID, "id-1")
					w.is.Equal(got.aborted, row.aborted)
					w.is.Equal(got.header.Get(headerRequestID), "id-1")
					if row.aborted {
						return
					}
					w.is.Equal(got.code, row.code)
					if row.code == 0 {
						w.is.Equal(got.body, row.body)
					}
				})
			})
		}
	}
}

// Guards against a late response to a cancelled try reaching the caller, and against headers that concern only one hop or
// the gateway itself being passed on.
func TestHeaders(t *testing.T) {
	inWorld(t, func(w *world) {
		var seen http.Header
		w.each(func(u *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
			seen = r.Header
			return changed(http.StatusOK, "fine", func(resp *http.Response) {
				resp.Header.Set("Connection", "X-Private")
				resp.Header.Set("X-Private", "1")
				resp.Header.Set("X-Public", "1")
				resp.Header.Set(headerCode, "1010")
				resp.Header.Set(headerLoad, "1/3")
			})(u, ctx, r)
		})
		got := w.do(http.MethodGet, "/desk/level", headerTimeout, "300", headerHop, "1", "Connection", "X-Hop", "X-Hop", "1",
			headerTenant, "basin")
		w.is.Equal(got.body, "fine")
		w.is.Equal(got.header.Get("X-Public"), "1")
		for _, name := range []string{"X-Private", "Connection", headerCode, headerLoad} {
			w.is.Equal(got.header.Get(name), "")
		}
		w.is.Equal(seen.Get(headerTimeout), "300")
		w.is.Equal(seen.Get(headerTenant), "basin")
		w.is.Equal(seen.Get("X-Hop")+seen.Get(headerHop), "")
		w.do(http.MethodGet, "/desk/level", headerTimeout, "60000")
		w.is.Equal(seen.Get(headerTimeout), "1000") // Never more than the class permits.
	})
}

// endless is a body that records how far it was read and whether it was closed.
type endless struct {
	ctx    context.Context
	closed chan struct{}
}

func (e endless) Read(p []byte) (int, error) {
	select {
	case <-e.ctx.Done():
		return 0, e.ctx.Err()
	case <-time.After(time.Millisecond):
		return len(p), nil
	}
}

func (e endless) Close() error {
	close(e.closed)
	return nil
}

// Guards against an upstream working on for a caller that is gone, and against the slot staying taken.
func TestCallerGone(t *testing.T) {
	for description, serve := range map[string]behaviour{
		"before the header": after(time.Hour, http.StatusOK, ""),
		"during the body":   nil,
	} {
		t.Run(description, func(t *testing.T) {
			inWorld(t, func(w *world) {
				closed := make(chan struct{})
				if serve == nil {
					serve = func(_ *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
						resp := respond(r, http.StatusOK, "")
						chunked(resp)
						resp.Body = endless{ctx, closed}
						return resp, ExchangeOutcome{BytesWritten: written}, nil
					}
				} else {
					close(closed)
				}
				w.each(serve)
				ctx, cancel := context.WithCancel(context.Background())
				wait := several(1, func() answer { return w.doContext(ctx, http.MethodGet, "/desk/level") })
				w.is.Equal(w.inFlight(), 1)
				cancel()
				wait()
				<-closed
				w.is.Equal(w.inFlight(), 0)
				w.is.Equal(w.started(), 1) // Not tried again.
			})
		})
	}
}

// Guards against an upstream looking slow because callers gave up long downloads.
func TestAbandonedDownloads(t *testing.T) {
	inWorld(t, func(w *world) {
		w.only("n1")
		w.get()
		w.upstream("n1").set(func(_ *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
			resp := respond(r, http.StatusOK, "")
			chunked(resp)
			resp.Body = endless{ctx, make(chan struct{})}
			return resp, ExchangeOutcome{BytesWritten: written}, nil
		})
		w.setView(func(v *controlstate.View) { v.Config.Services[0].ColdSlots = 1 })
		for range 5 {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			w.doContext(ctx, http.MethodGet, "/desk/level")
			cancel()
		}
		w.is.Equal(w.g.Status().Services[0].Upstreams[0].Limit, 3)
	})
}

// inFlight is what the gateway counts on all upstreams.
func (w *world) inFlight() int {
	n := 0
	for _, s := range w.g.Status().Services {
		for _, u := range s.Upstreams {
			n += u.InFlight
		}
	}
	return n
}

// Guards against a response whose memory grows with its length.
func TestBoundedMemoryOfLongResponses(t *testing.T) {
	inWorld(t, func(w *world) {
		const length = 64 << 20
		largest := 0
		w.each(changed(http.StatusOK, "", func(resp *http.Response) {
			resp.ContentLength = length
			resp.Body = io.NopCloser(io.LimitReader(readerFunc(func(p []byte) (int, error) {
				largest = max(largest, len(p))
				return len(p), nil
			}), length))
		}))
		r, err := http.NewRequest(http.MethodGet, "/desk/level", nil)
		w.is.NoErr(err)
		out := &countingWriter{header: http.Header{}}
		w.g.ServeHTTP(out, r)
		w.is.Equal(out.n, length)
		w.is.Equal(largest, copyBuffer)
	})
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// countingWriter counts a response instead of keeping it.
type countingWriter struct {
	header http.Header
	n      int
}

func (c *countingWriter) Header() http.Header { return c.header }
func (c *countingWriter) WriteHeader(int)     {}
func (c *countingWriter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// Guards against a request that crashes upstreams taking a third one with it, at once or when its caller sends it again,
// and against refusing others with it.
func TestCrashingRequest(t *testing.T) {
	inWorld(t, func(w *world) {
		w.setView(func(v *controlstate.View) { v.Config.Services[0].ProbesPerSecond = 1 })
		w.each(func(u *fakeUpstream, ctx context.Context, r *http.Request) (*http.Response, ExchangeOutcome, error) {
			if r.URL.Path != "/desk/level" {
				return respond(r, http.StatusOK, "fine"), ExchangeOutcome{BytesWritten: written}, nil
			}
			u.mu.Lock()
			u.refuse = true
			u.mu.Unlock()
			return fails(written, syscall.ECONNRESET)(u, ctx, r)
		})
		w.is.Equal(w.get().code, resultcode.UpstreamConnectionCut)
		w.is.Equal(w.started(), 2)
		time.Sleep(3 * time.Second) // Virtual: probes find the connections refused.
		synctest.Wait()
		w.is.Equal(w.get().code, resultcode.FingerprintBlocked)
		w.is.Equal(w.do(http.MethodGet, "/desk/level/other").body, "fine")
		w.is.Equal(w.started(), 3)
		w.crashes.mu.Lock()
		defer w.crashes.mu.Unlock()
		w.is.Equal(len(w.crashes.reports), 2)
	})
}
