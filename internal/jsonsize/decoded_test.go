package jsonsize

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against texts of many short values or items that count as little as their length.
func TestDecoded(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]int64{
		"": 0, "1": 1, `"text"`: 6, `[1,2]`: 5 + containerBytes + valueBytes, `{"a":[]}`: 8 + 2*containerBytes,
		strings.Repeat("[],", readBytes): readBytes * (3 + containerBytes + valueBytes),
	} {
		got, err := Decoded(iotest.HalfReader(strings.NewReader(text)))
		is.NoErr(err)
		is.Equal(got, want)
	}
	cut := errors.New("cut")
	_, err := Decoded(iotest.ErrReader(cut))
	is.Equal(err, cut)
}
