package edge

import (
	"context"
	"io"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/bramleypick/bramleypick/internal/socketbuffer"
)

// pacer limits the rate of long responses on a VM with a slow network link. Without it, a download fills the link's
// queue and delays every short response behind it by 100 ms. A nil pacer imposes no limit.
type pacer struct{ limiter *rate.Limiter }

// newPacer returns a pacer for a link, or nil if the link is fast enough or its speed is unknown.
func newPacer(linkBitsPerSecond float64) *pacer {
	if linkBitsPerSecond <= 0 || linkBitsPerSecond >= slowLink {
		return nil
	}
	return &pacer{rate.NewLimiter(rate.Limit(linkBitsPerSecond/8*pacedShare), pacedChunk)}
}

// bufferLimit returns the length up to which responses are buffered before they are forwarded.
func (p *pacer) bufferLimit() int64 {
	if p == nil {
		return maxBufferedResponse
	}
	return maxBufferedResponseSlowLink
}

// copy copies the rest of a response body to the client, at the limited rate.
func (p *pacer) copy(ctx context.Context, w io.Writer, body io.Reader) error {
	if p == nil {
		_, err := io.Copy(w, body)
		return err
	}
	buffer := make([]byte, pacedChunk)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if waitErr := p.limiter.WaitN(ctx, n); waitErr != nil {
				return errors.Wrap(waitErr, "pace the response")
			}
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "write the response")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// dial opens a connection to an upstream.
func dial(ctx context.Context, address string) (net.Conn, error) {
	// All operations on a connection have deadlines. Keep-alive probes would only add four system calls per connection.
	d := net.Dialer{KeepAlive: -1, Control: socketbuffer.Limit(upstreamReceiveBuffer)}
	return d.DialContext(ctx, "tcp", address)
}
