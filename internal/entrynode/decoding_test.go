package entrynode

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against a body that waited for others and is answered as if the memory were used up.
func TestBodyThatWaitsTooLong(t *testing.T) {
	is := is.New(t)
	n := &Node{decoding: make(chan struct{}, 1)}
	n.decoding <- struct{}{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx)
	err := n.DecodeBody(httptest.NewRecorder(), r, 1, func([]byte) error { return nil })
	is.True(errors.Is(err, ErrDecodingBusy))
}
