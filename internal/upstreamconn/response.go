package upstreamconn

import (
	"bufio"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxInterimResponses limits the 1xx responses before the final one, so that an upstream cannot delay a request indefinitely
// with them.
const maxInterimResponses = 16

// maxStatus is the highest status that RFC 9110 defines as valid.
const maxStatus = 599

var errUnframed = errors.New("the response has neither a length nor chunks")

// ReadResponse reads a response to r from a connection other than that of a Pool. It refuses what an exchange refuses. The header is
// limited to a number of bytes and lines, and the body must have a length or chunks.
func ReadResponse(src io.Reader, r *http.Request, maxHeaderBytes, maxHeaderLines int) (*http.Response, error) {
	in := &countingReader{conn: src}
	reader := bufio.NewReaderSize(in, bufferSize)
	in.begin(maxHeaderBytes, maxHeaderLines, nil)
	resp, err := readFinalHeader(in, reader, r, func() {})
	if err != nil {
		return nil, err
	}
	in.end()
	if endsWithConnection(resp) {
		return nil, errUnframed
	}
	if isChunked(resp) && resp.Body != http.NoBody {
		resp.Body = io.NopCloser(newChunkedBody(reader))
	}
	return resp, nil
}

// readFinalHeader reads headers from reader, which reads from in, until one that is not that of an interim response. It calls onContinue
// for 100 Continue.
func readFinalHeader(in *countingReader, reader *bufio.Reader, r *http.Request, onContinue func()) (*http.Response, error) {
	for range maxInterimResponses {
		resp, err := http.ReadResponse(reader, r)
		if in.refused != nil { // the parser may report what it made of the beginning
			err = in.refused
		}
		if err != nil {
			return nil, err
		}
		if resp.ProtoMajor != 1 { // http.ReadResponse accepts all
			return nil, errors.Errorf("unexpected version %q", resp.Proto)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < 100 || resp.StatusCode > maxStatus {
			return nil, errors.Errorf("unexpected status %d", resp.StatusCode)
		}
		if !resp.ProtoAtLeast(1, 1) && in.fields.hasTransferCoding { // http.ReadResponse ignores the coding
			return nil, errors.New("transfer coding in a response of HTTP/1.0")
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
		if resp.StatusCode == http.StatusContinue {
			onContinue()
		}
		next, _ := reader.Peek(reader.Buffered()) // the bytes are buffered
		in.beginNext(next)
	}
	return nil, errors.New("too many interim responses")
}
