package entrynode

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/bodybuffer"
	"github.com/bramleypick/bramleypick/internal/jsonsize"
	"github.com/bramleypick/bramleypick/internal/pipeline"
)

// decodeWait is how long a large body waits until it is decoded. Callers try another VM after a second without a response.
const decodeWait = 900 * time.Millisecond

// Errors of bodies that cannot be decoded now. The caller may try again, or another VM.
var (
	ErrNoMemory     = errors.New("the clients hold all memory that they may use")
	ErrDecodingBusy = errors.New("other bodies took too long to be decoded")
)

// DecodeBody calls decode with the JSON body of a request to the API, of at most limit bytes. What the body is decoded to is charged to
// the budget of clients until the handler returns, since short values take many times the memory of their text. Bodies are decoded
// one after the other, because decoding also leaves garbage. The error is ErrNoMemory, ErrDecodingBusy,
// *http.MaxBytesError, an error of reading or that of decode.
func (n *Node) DecodeBody(w http.ResponseWriter, r *http.Request, limit int64, decode func(data []byte) error) error {
	ctx, cancel := context.WithTimeout(r.Context(), decodeWait)
	defer cancel()
	select {
	case n.decoding <- struct{}{}:
		defer func() { <-n.decoding }()
	case <-ctx.Done():
		return ErrDecodingBusy
	}
	held, ok := r.Body.(interface{ Body() *bodybuffer.Body })
	if !ok { // without a body
		return decode(nil)
	}
	body := held.Body()
	if body.Len() > limit {
		return &http.MaxBytesError{Limit: limit}
	}
	text := body.NewReader()
	defer text.Close()
	size, err := jsonsize.Decoded(text)
	if err != nil {
		return err
	}
	if !pipeline.Reserve(w, size) {
		return ErrNoMemory
	}
	data := make([]byte, body.Len())
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return err
	}
	return decode(data)
}
