package daemon

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/gateway"
	"github.com/bramleypick/bramleypick/internal/peernet"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
)

// deliveryTimeout bounds how long the receiver of a forwarded request waits for the sender to read the whole response.
// It exceeds the idle timeout of peer connections, which already closes a connection whose peer has failed.
const deliveryTimeout = 5 * time.Second

// maxForwardedHeaderBytes and maxForwardedHeaderLines limit the header of a response from a peer. They exceed the limits with which that
// peer reads it from the upstream.
const maxForwardedHeaderBytes, maxForwardedHeaderLines = 128 << 10, 10000

// forwarder forwards requests to peer gateways as HTTP/1.1, one QUIC stream per request. The sender closes its side of
// the stream only after it has read the whole response, so that the receiver knows when it may close the connection.
type forwarder struct {
	network *peernet.Network
	view    func() *controlstate.View
}

// Forward sends r to the gateway with the given session. It returns an error that wraps gateway.ErrNotForwarded if
// that gateway could not be reached, so that certainly nothing was sent. The caller must close the response body.
func (f forwarder) Forward(ctx context.Context, sessionID uint64, r *http.Request) (*http.Response, error) {
	view := f.view()
	if view == nil || view.Session(sessionID) == nil {
		return nil, errors.WithMessagef(gateway.ErrNotForwarded, "session %d is not in the view of the control state", sessionID)
	}
	s, err := f.network.OpenStream(ctx, view.Session(sessionID).Gateway)
	if err != nil {
		return nil, errors.WithMessage(gateway.ErrNotForwarded, err.Error())
	}
	stopAbort := context.AfterFunc(ctx, s.Abort)
	if err := r.Write(s); err != nil {
		stopAbort()
		s.Abort()
		return nil, errors.Wrap(err, "forward a request")
	}
	response, err := upstreamconn.ReadResponse(s, r, maxForwardedHeaderBytes, maxForwardedHeaderLines)
	if err != nil {
		stopAbort()
		s.Abort()
		return nil, errors.Wrap(err, "response of a forwarded request")
	}
	response.Body = &forwardedBody{ReadCloser: response.Body, stop: stopAbort, stream: s}
	return response, nil
}

// forwardedBody is the body of a forwarded response. Closing it ends the stream.
type forwardedBody struct {
	io.ReadCloser
	stop      func() bool
	stream    peernet.Stream
	readToEOF bool
}

// Read reads from the body and records whether its end was reached.
func (b *forwardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.readToEOF = b.readToEOF || err == io.EOF
	return n, err
}

// Close closes the stream, which tells the peer that the whole response arrived. If the body was not read to its end,
// Close aborts the stream.
func (b *forwardedBody) Close() error {
	b.stop()
	if !b.readToEOF {
		b.stream.Abort()
		return nil
	}
	b.stream.CloseRead()
	return b.stream.Close()
}

// serveForwarded serves one request forwarded by a peer gateway.
func serveForwarded(ctx context.Context, s peernet.Stream, handler http.Handler) {
	_ = s.SetDeadline(time.Now().Add(headerReadTimeout))
	in := bufio.NewReader(s)
	request, err := http.ReadRequest(in)
	if err != nil {
		s.Abort()
		return
	}
	_ = s.SetDeadline(time.Time{})
	w := newStreamResponseWriter(s, request)
	defer func() {
		// The data path panics with http.ErrAbortHandler when the response is incomplete. Aborting the stream keeps the
		// peer from treating it as complete.
		if recovered := recover(); recovered != nil {
			s.Abort()
			return
		}
		w.finish()
		// Discard the unread rest of the request body: the sender writes the whole body before it reads the response.
		// The read ends when the sender closes its side, after it has the whole response.
		_ = s.SetDeadline(time.Now().Add(deliveryTimeout))
		_, _ = io.Copy(io.Discard, in)
	}()
	handler.ServeHTTP(w, request.WithContext(ctx))
}
