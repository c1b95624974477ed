package pipeline

import (
	"bufio"
	"bytes"
	"net"

	"github.com/pkg/errors"
)

var (
	errHeaderTooLarge = errors.New("request header exceeds the configured limit")
	errTooManyLines   = errors.New("request header has too many lines")
	errNoRoom         = errors.New("the clients hold all memory that they may use")
)

const (
	// headerByteCost and headerLineCost are the memory in bytes that a byte and a line of a header take until the response is
	// complete: the parsed header, its copy for the upstream, the sorted names while it is written, and the garbage of growing maps.
	headerByteCost = 2
	headerLineCost = 384
	// coveredHeaderCost is the part of requestBytes for the header: 2 KB in 20 lines.
	coveredHeaderCost = 12 << 10
	// headerChargeStep is the number of bytes by which the charge grows beyond that.
	headerChargeStep = 16 << 10
)

// headerLimitReader limits the bytes and lines of a header, and charges them before the parser gets them, while remaining is not
// negative. It may return up to one buffer of the parser beyond the limit of lines, because that may hold what follows the header.
type headerLimitReader struct {
	conn      net.Conn
	remaining int64 // bytes
	maxLines  int   // zero means no limit
	lines     int
	cost      int64 // of the header so far
	covered   int64 // charged for the header
	charge    func(n int64) bool
	err       error // why the header is refused; the parser may read on after an error
}

// begin starts a header, the beginning of which the parser's buffer may hold.
func (l *headerLimitReader) begin(maxBytes int64, buffer *bufio.Reader) {
	l.remaining, l.lines, l.cost, l.covered, l.err = maxBytes, 0, 0, coveredHeaderCost, nil
	if held, err := buffer.Peek(buffer.Buffered()); err == nil {
		l.count(held)
	}
}

func (l *headerLimitReader) count(data []byte) {
	lines := bytes.Count(data, []byte{'\n'})
	l.lines += lines
	l.cost += headerByteCost*int64(len(data)) + headerLineCost*int64(lines)
}

func (l *headerLimitReader) end() { l.remaining = -1 }

// Read implements io.Reader.
func (l *headerLimitReader) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return l.conn.Read(p)
	}
	switch {
	case l.err != nil:
	case l.remaining == 0:
		l.err = errHeaderTooLarge
	case l.maxLines > 0 && l.lines > l.maxLines:
		l.err = errTooManyLines
	}
	if l.err != nil {
		return 0, l.err
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.conn.Read(p)
	l.remaining -= int64(n)
	l.count(p[:n])
	if over := l.cost - l.covered; over > 0 {
		step := (over + headerChargeStep - 1) / headerChargeStep * headerChargeStep
		if !l.charge(step) {
			l.err = errNoRoom
			return 0, l.err
		}
		l.covered += step
	}
	return n, err
}
