package bodybuffer

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// lengths are those around the sizes of parts.
var lengths = []int{0, 1, SmallBytes - 1, SmallBytes, SmallBytes + 1, SegmentBytes, SegmentBytes + 1, SmallBytes + SegmentBytes, 3*SegmentBytes + 7}

func content(length int) []byte {
	data := make([]byte, length)
	random := rand.NewChaCha8([32]byte{})
	_, _ = random.Read(data)
	return data
}

// Guards against bodies that arrive in other bytes than were sent, whatever the parts in which they arrive.
func TestBodiesAreUnchanged(t *testing.T) {
	var pool Pool
	for _, length := range lengths {
		is := is.New(t)
		want := content(length)
		for _, source := range []io.Reader{bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
			reserved := int64(0)
			b, err := ReadAll(source, int64(length), func(n int64) error { reserved += n; return nil }, &pool)
			is.NoErr(err)
			is.True(reserved <= int64(length)+SegmentBytes)
			check(is, b, want)
		}
		b, err := ReadLength(bytes.NewReader(want), int64(length), &pool)
		is.NoErr(err)
		check(is, b, want)
	}
}

func check(is *is.I, b *Body, want []byte) {
	is.Helper()
	is.Equal(b.Len(), int64(len(want)))
	r := b.NewReader()
	got, err := io.ReadAll(iotest.OneByteReader(r))
	is.NoErr(err)
	is.True(bytes.Equal(got, want))
	is.NoErr(r.Close())
	if len(want) <= SmallBytes {
		is.True(bytes.Equal(b.Small(SmallBytes), want))
	} else {
		is.Equal(b.Small(SmallBytes), nil)
	}
	b.Release()
}

// Guards against a body that is cut short and is taken for complete, and against segments that are lost with it.
func TestIncompleteBodies(t *testing.T) {
	is := is.New(t)
	cut := errors.New("cut")
	unlimited := func(int64) error { return nil }
	for _, length := range lengths {
		for _, err := range []error{cut, io.ErrUnexpectedEOF} {
			var pool Pool
			source := io.MultiReader(bytes.NewReader(content(length)), iotest.ErrReader(err))
			_, got := ReadAll(source, 1<<20, unlimited, &pool)
			is.Equal(got, err)
			is.Equal(pool.FreeBytes(), int64(max(0, length-SmallBytes+SegmentBytes-1)/SegmentBytes)*SegmentBytes)
		}
		var pool Pool
		_, err := ReadLength(bytes.NewReader(content(length)), int64(length)+1, &pool)
		is.True(err != nil)
	}
}

// Guards against bodies that take more than was reserved, or than the limit.
func TestLimits(t *testing.T) {
	is := is.New(t)
	var pool Pool
	noRoom, left := errors.New("no room"), int64(SmallBytes+SegmentBytes)
	_, err := ReadAll(bytes.NewReader(content(SmallBytes+SegmentBytes+1)), 1<<20, func(n int64) error {
		if left < n {
			return noRoom
		}
		left -= n
		return nil
	}, &pool)
	is.Equal(err, noRoom)
	var tooLarge *http.MaxBytesError
	_, err = ReadAll(bytes.NewReader(content(1001)), 1000, func(int64) error { return nil }, &pool)
	is.True(errors.As(err, &tooLarge))
}

// Guards against segments that another body uses while an attempt still sends the former one, so that a server gets the bytes of
// another client.
func TestSegmentsAreNotReusedWhileTheyAreRead(t *testing.T) {
	is := is.New(t)
	var pool Pool
	want := content(2 * SegmentBytes)
	b, err := ReadLength(bytes.NewReader(want), int64(len(want)), &pool)
	is.NoErr(err)
	released := 0
	b.OnRelease(func() { released++ })
	r := b.NewReader()
	b.Release()
	is.Equal(pool.FreeBytes(), int64(0))
	is.Equal(released, 0)
	_, err = ReadLength(bytes.NewReader(make([]byte, len(want))), int64(len(want)), &pool)
	is.NoErr(err)
	got, err := io.ReadAll(r)
	is.NoErr(err)
	is.True(bytes.Equal(got, want))
	is.NoErr(r.Close())
	is.NoErr(r.Close())
	is.Equal(pool.FreeBytes(), int64(2*SegmentBytes))
	is.Equal(released, 1)
	_, err = r.Read(make([]byte, 1))
	is.Equal(err, errClosed)
	_, err = b.NewReader().Read(make([]byte, 1))
	is.Equal(err, errReleased)
}

// Guards against memory that is kept after a crowd has left, and against segments that are given up although bodies need them again.
func TestFreeSegmentsAreTrimmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var pool Pool
		read := func(segments int) *Body {
			b, err := ReadLength(bytes.NewReader(make([]byte, segments*SegmentBytes)), int64(segments)*SegmentBytes, &pool)
			is.NoErr(err)
			return b
		}
		read(10).Release()
		time.Sleep(trimInterval / 2)
		read(4).Release()
		time.Sleep(trimInterval)
		is.Equal(pool.FreeBytes(), int64(10*SegmentBytes)) // all of them were needed in the first interval
		read(4).Release()
		time.Sleep(trimInterval)
		is.Equal(pool.FreeBytes(), int64(4*SegmentBytes))
		pool.Shrink(2 * SegmentBytes)
		is.Equal(pool.FreeBytes(), int64(2*SegmentBytes))
		time.Sleep(3 * trimInterval)
		is.Equal(pool.FreeBytes(), int64(0))
		pool.mu.Lock()
		defer pool.mu.Unlock()
		is.Equal(pool.timer, nil)
	})
}
