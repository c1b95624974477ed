package bodybuffer

import (
	"io"
	"net/http"
)

// SmallBytes is the size of the first part of a body of unknown length, and the size up to which a body is contiguous.
const SmallBytes = 4 << 10

// Cost returns the memory in bytes that a body of the given length takes.
func Cost(length int64) int64 {
	if length <= SegmentBytes {
		return length
	}
	return (length + SegmentBytes - 1) / SegmentBytes * SegmentBytes
}

// ReadLength reads a body of a known length. The caller has reserved Cost(length) bytes for it.
func ReadLength(from io.Reader, length int64, pool *Pool) (*Body, error) {
	if length <= SegmentBytes {
		data := make([]byte, length)
		if _, err := io.ReadFull(from, data); err != nil {
			return nil, err
		}
		return newBody(pool, [][]byte{data}, length), nil
	}
	var segments [][]byte
	for left := length; left > 0; {
		segment := pool.get()[:min(left, SegmentBytes)]
		segments = append(segments, segment)
		n, err := io.ReadFull(from, segment)
		if err != nil {
			pool.put(segments)
			return nil, err
		}
		left -= int64(n)
	}
	return newBody(pool, segments, length), nil
}

// ReadAll reads a body of an unknown length. It calls reserve with the bytes of each part before it takes them, and returns its
// error. A body of more than limit bytes fails with *http.MaxBytesError.
func ReadAll(from io.Reader, limit int64, reserve func(n int64) error, pool *Pool) (*Body, error) {
	var segments [][]byte
	fail := func(err error) (*Body, error) {
		pool.put(segments)
		return nil, err
	}
	length := int64(0)
	var first [1]byte // of the next part, for which memory is taken only if the body goes on
	for {
		if _, err := fill(from, first[:]); err == io.EOF {
			return newBody(pool, segments, length), nil
		} else if err != nil {
			return fail(err)
		}
		if length == limit {
			return fail(&http.MaxBytesError{Limit: limit})
		}
		segment, err := nextSegment(len(segments) == 0, reserve, pool)
		if err != nil {
			return fail(err)
		}
		segment = segment[:min(int64(len(segment)), limit-length)]
		segment[0] = first[0]
		segments = append(segments, segment)
		n, err := fill(from, segment[1:])
		if err != nil && err != io.EOF {
			return fail(err)
		}
		segments[len(segments)-1] = segment[:n+1]
		length += int64(n) + 1
	}
}

// fill reads until p is full or there is an error. Unlike io.ReadFull, it returns io.EOF also after some bytes: an error of the
// reader about a body that is cut short must differ from its end.
func fill(from io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = from.Read(p[n:])
		n += read
	}
	if n == len(p) {
		return n, nil
	}
	return n, err
}

func nextSegment(isFirst bool, reserve func(n int64) error, pool *Pool) ([]byte, error) {
	size := int64(SegmentBytes)
	if isFirst {
		size = SmallBytes
	}
	if err := reserve(size); err != nil {
		return nil, err
	}
	if isFirst {
		return make([]byte, size), nil
	}
	return pool.get(), nil
}
