package peernet

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// streamKind is the first byte of each stream.
type streamKind byte

const (
	kindMessages streamKind = 1 // unidirectional: frames with one message each
	kindCall     streamKind = 2 // bidirectional: one frame in each direction; the response begins with a status byte
	kindStream   streamKind = 3 // bidirectional: raw bytes
)

const (
	callOK     byte = 0
	callFailed byte = 1
)

// ErrTooLarge is returned for a message, call or response that exceeds its size limit.
var ErrTooLarge = errors.New("peernet: message exceeds the size limit")

func writeFrame(w io.Writer, data []byte, limit int) error {
	if len(data) > limit {
		return errors.Wrapf(ErrTooLarge, "frame of %d bytes, limit %d", len(data), limit)
	}
	var header [4]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(data)))
	if len(data) > largeMessageBytes {
		if _, err := w.Write(header[:]); err != nil {
			return err
		}
		_, err := w.Write(data)
		return err
	}
	_, err := w.Write(append(header[:], data...))
	return err
}

// readFrame reads one frame. For a large frame it grows the buffer as data arrives, so that a header alone cannot cause a
// large allocation.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(limit) {
		return nil, errors.Wrapf(ErrTooLarge, "frame of %d bytes, limit %d", size, limit)
	}
	if size <= largeMessageBytes {
		data := make([]byte, size)
		_, err := io.ReadFull(r, data)
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(r, size))
	if err == nil && int64(len(data)) < size {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}
