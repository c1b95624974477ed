package daemon

import (
	"bufio"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/peernet"
)

// forwarder sends requests to peer gateways, one QUIC stream for each, in HTTP/1.1 as net/http writes it.
type forwarder struct {
	network *peernet.Network
	view    func() *controlstate.View
}

// Forward sends r to the gateway of the session. The caller must close the response's body.
func (f forwarder) Forward(ctx context.Context, sessionID uint64, r *http.Request) (*http.Response, error) {
	view := f.view()
	if view == nil || view.Session(sessionID) == nil {
		return nil, errors.Errorf("session %d is not known", sessionID)
	}
	s, err := f.network.OpenStream(ctx, view.Session(sessionID).Gateway)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, s.Abort)
	if err := r.Write(s); err != nil {
		stop()
		s.Abort()
		return nil, errors.Wrap(err, "forward a request")
	}
	s.Close()
	response, err := http.ReadResponse(bufio.NewReader(s), r)
	if err != nil {
		stop()
		s.Abort()
		return nil, errors.Wrap(err, "response of a forwarded request")
	}
	response.Body = &forwardedBody{ReadCloser: response.Body, stop: stop, stream: s}
	return response, nil
}

// forwardedBody ends the stream with the body.
type forwardedBody struct {
	io.ReadCloser
	stop   func() bool
	stream peernet.Stream
	done   bool
}

// Read reads the body and notes its end.
func (b *forwardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.done = b.done || err == io.EOF
	return n, err
}

// Close aborts the stream unless the body was read to its end.
func (b *forwardedBody) Close() error {
	b.stop()
	if !b.done {
		b.stream.Abort()
	}
	return nil
}

// serveForwarded serves one request that a peer gateway forwarded.
func serveForwarded(ctx context.Context, s peernet.Stream, handler http.Handler) {
	request, err := http.ReadRequest(bufio.NewReader(s))
	if err != nil {
		s.Abort()
		return
	}
	w := newStreamResponse(s, request)
	defer func() {
		// The data path panics with http.ErrAbortHandler where the caller must not take the response for complete.
		if recovered := recover(); recovered != nil {
			s.Abort()
			return
		}
		w.finish()
	}()
	handler.ServeHTTP(w, request.WithContext(ctx))
}
