package upstreamconn

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against idle connections that hold the ids of requests that have ended, whose length clients decide.
func TestIdleConnectionsDoNotHoldRequestIDs(t *testing.T) {
	const connections, idLength, limit = 20, 60000, 2 << 20
	is := is.New(t)
	f := &fakeUpstream{}
	p := f.pool(Options{})
	defer p.Close()
	exchange := func(c *Conn) {
		r, err := http.NewRequest("GET", "http://upstream/status", nil)
		is.NoErr(err)
		r.Header.Set(DefaultRequestIDHeader, strings.Repeat("v", idLength))
		resp, _, err := c.Exchange(context.Background(), r)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	before := liveHeap()
	for range recentRequests {
		var conns []*Conn
		for range connections {
			c, err := p.ConnectWithin(context.Background(), time.Minute, "")
			is.NoErr(err)
			conns = append(conns, c)
		}
		for _, c := range conns {
			exchange(c)
		}
	}
	is.Equal(p.Stats().Idle, connections)
	held := liveHeap() - before
	is.True(held < limit) // the ids have 9.6 MB
}

// liveHeap returns the bytes of the heap that are reachable.
func liveHeap() int64 {
	var stats runtime.MemStats
	for range 2 { // the second collection frees what pools have kept
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
