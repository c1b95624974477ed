package peernet

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// streamKind is the first byte of each stream.
type streamKind byte

const (
	kindMessages streamKind = 1 // unidirectional: frames, one message each
	kindCall     streamKind = 2 // bidirectional: one frame each way, the response with a status byte first
	kindStream   streamKind = 3 // bidirectional: raw bytes
)

const (
	callOK     byte = 0
	callFailed byte = 1
)

// ErrTooLarge is returned for a message or a call beyond the size limit.
var ErrTooLarge = errors.New("peernet: message exceeds the size limit")

func writeFrame(w io.Writer, data []byte) error {
	if len(data) > maxMessageBytes {
		return ErrTooLarge
	}
	frame := make([]byte, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	copy(frame[4:], data)
	_, err := w.Write(frame)
	return err
}

func readFrame(r io.Reader) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxMessageBytes {
		return nil, ErrTooLarge
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, err
}
