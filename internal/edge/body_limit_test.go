package edge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/internal/pipeline"
	"github.com/bramleypick/bramleypick/resultcode"
)

// Guards against a caller that is told to change its request because the configuration changed after its body was not read.
func TestBodyThatALaterConfigurationTakes(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "a", succeed)
	g := newGateway(t, clusterState(u.entry()))
	r := httptest.NewRequest(http.MethodPost, "http://h/once/1", iotest.ErrReader(pipeline.ErrBodyNotRead))
	r.ContentLength = 1 << 20
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(w.Header().Get("Retry-After") != "")
	var body refusalBody
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
	is.Equal(body.Code, int(resultcode.ControlUnavailable))
	is.True(body.NotRun)
	is.Equal(u.requestCount(), 0)
}
