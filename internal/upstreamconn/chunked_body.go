package upstreamconn

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/pkg/errors"
)

// maxTrailerBytes limits the trailer, which is discarded.
const maxTrailerBytes = bufferSize

var errTrailerTooLarge = errors.New("response trailer exceeds its limit")

// chunkedBody reads a body in chunks. Unlike that of net/http, it checks the trailer like a header.
type chunkedBody struct {
	chunks      io.Reader
	reader      *bufio.Reader
	trailer     fieldScanner
	trailerLeft int // bytes
}

func newChunkedBody(r *bufio.Reader) *chunkedBody {
	return &chunkedBody{
		chunks: httputil.NewChunkedReader(r), reader: r, trailerLeft: maxTrailerBytes,
		trailer: fieldScanner{position: atLineStart, requireCR: true},
	}
}

// Read implements io.Reader. It returns io.EOF only after the end of the trailer.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		if trailerErr := b.skipTrailer(); trailerErr != nil {
			err = trailerErr
		}
	}
	return n, err
}

func (b *chunkedBody) skipTrailer() error {
	for b.trailer.position != afterFields {
		if b.trailerLeft == 0 {
			return errTrailerTooLarge
		}
		if _, err := b.reader.Peek(1); err == io.EOF {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
		buffered, _ := b.reader.Peek(min(b.reader.Buffered(), b.trailerLeft)) // the bytes are buffered
		n, err := b.trailer.scan(buffered)
		if err != nil {
			return err
		}
		_, _ = b.reader.Discard(n)
		b.trailerLeft -= n
	}
	return nil
}
