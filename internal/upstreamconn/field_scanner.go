package upstreamconn

import (
	"strings"

	"github.com/pkg/errors"
)

const transferCoding = "Transfer-Encoding"

var (
	errFieldName  = errors.New("invalid field name in a response")
	errFieldValue = errors.New("invalid byte in a line of a response header")
	errFolded     = errors.New("folded line in a response header")
)

// fieldPosition is where in a header the next byte stands.
type fieldPosition int

const (
	inStatusLine fieldPosition = iota
	atLineStart
	inName
	inValue
	afterFields // after the empty line
)

// fieldScanner checks the syntax of a header or trailer as its bytes arrive. It rejects what the parser of net/http accepts, and what
// other recipients understand differently: blanks in or after a field name, and folded lines. The rest it leaves to the parser.
type fieldScanner struct {
	position fieldPosition
	name     [len(transferCoding)]byte // the beginning of the field name
	length   int                       // of the field name
	afterCR  bool
	// requireCR rejects lines that end without CR, as net/http does for the lines between chunks, but not for headers.
	requireCR bool
	// hasTransferCoding reports whether there was a Transfer-Encoding field.
	hasTransferCoding bool
}

// scan checks the next bytes and returns how many of them it has read. It stops at the end of the header.
func (s *fieldScanner) scan(data []byte) (int, error) {
	for i, c := range data {
		if s.position == afterFields {
			return i, nil
		}
		if err := s.next(c); err != nil {
			return i, err
		}
	}
	return len(data), nil
}

func (s *fieldScanner) next(c byte) error {
	if s.afterCR && c != '\n' || s.requireCR && !s.afterCR && c == '\n' {
		return errFieldValue
	}
	s.afterCR = false
	switch {
	case c == '\n':
		return s.endLine()
	case c == '\r' && s.position != inName:
		s.afterCR = true
		return nil
	case c == 0:
		return errFieldValue
	case s.position == atLineStart:
		if c == ' ' || c == '\t' {
			return errFolded
		}
		s.position, s.length = inName, 0
		return s.nextOfName(c)
	case s.position == inName:
		return s.nextOfName(c)
	}
	return nil
}

func (s *fieldScanner) endLine() error {
	switch s.position {
	case inName:
		return errFieldName // no colon
	case atLineStart:
		s.position = afterFields
	default:
		s.position = atLineStart
	}
	return nil
}

func (s *fieldScanner) nextOfName(c byte) error {
	switch {
	case c == ':' && s.length > 0:
		s.position = inValue
		s.hasTransferCoding = s.hasTransferCoding || s.length == len(transferCoding) && strings.EqualFold(string(s.name[:]), transferCoding)
	case !tokenBytes[c]:
		return errFieldName
	case s.length < len(s.name):
		s.name[s.length] = c
	}
	s.length++
	return nil
}

// tokenBytes are the bytes that RFC 9110 allows in a field name.
var tokenBytes = func() (allowed [256]bool) {
	const others = "!#$%&'*+-.^_`|~"
	for c := byte('0'); c <= 'z'; c++ {
		allowed[c] = c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a'
	}
	for i := range others {
		allowed[others[i]] = true
	}
	return allowed
}()
