package edge

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that waits although no upstream may get it within its time, and against a limit that outlasts the
// responses that name it. Health responses of this upstream never name the limit.
func TestRequestLimitRefusesAtOnceAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newMemoryNetwork()
		limit := "0.5"
		u := &fakeUpstream{id: "a", respond: func(w http.ResponseWriter, r *http.Request) {
			if limit != "" {
				w.Header().Set(testLimit, limit)
			}
			succeed(w, r)
		}}
		state := clusterState(network.add("a", serveHTTP(u)))
		state.Senders = state.Gateways
		g := network.gateway(state)
		defer g.closeConnections()
		is.Equal(send(t, g, "/once/1", nil).Code, http.StatusOK) // names the limit
		started := time.Now()
		w := send(t, g, "/once/1", nil)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(w.Header().Get("Retry-After") != "")
		is.Equal(time.Since(started), time.Duration(0)) // the next request is allowed in 2 s
		is.Equal(u.requestCount(), 1)
		limit = ""
		time.Sleep(2100 * time.Millisecond)
		is.Equal(send(t, g, "/once/1", nil).Code, http.StatusOK)
		is.Equal(send(t, g, "/once/1", nil).Code, http.StatusOK) // no limit any more
		is.Equal(u.requestCount(), 3)
	})
}
