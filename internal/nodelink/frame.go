package nodelink

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxFrameBytes bounds the size of a frame. The largest frames are snapshots and views with thousands of routes.
const maxFrameBytes = 16 << 20

// maxFirstFrameBytes bounds the first frame of an accepted link, which is a ping or describes a process.
const maxFirstFrameBytes = 64 << 10

type frameKind uint8

const (
	framePing    frameKind = 1
	frameMessage frameKind = 2 // one-way
	frameCall    frameKind = 3
	frameReply   frameKind = 4
)

// frame is the unit of transmission on a link. On the wire it is a 4-byte big-endian length, followed by this structure in
// CBOR.
type frame struct {
	Kind   frameKind `cbor:"1,keyasint"`
	CallID uint64    `cbor:"2,keyasint,omitempty"`
	Method Method    `cbor:"3,keyasint,omitempty"`
	Body   []byte    `cbor:"4,keyasint,omitempty"`
	// Error is the text of the error that the callee returned. It is set in replies only.
	Error string `cbor:"5,keyasint,omitempty"`

	size int // of a received frame on the wire, in bytes
}

func (f frame) encode() ([]byte, error) {
	body, err := cbor.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(body) > maxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", len(body), maxFrameBytes)
	}
	data := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(data, uint32(len(body)))
	return append(data, body...), nil
}

// frameStep is the number of bytes by which the buffer of a frame grows at first. Most frames are smaller.
const frameStep = 64 << 10

// readFrame reads a frame of at most maxFrameBytes.
func readFrame(r io.Reader) (frame, error) { return readFrameWithin(r, maxFrameBytes, nil) }

// readFrameWithin reads a frame of at most limit bytes. The buffer grows with what arrives, since the length may be false; take is
// called before it takes more than frameStep, and may be nil.
func readFrameWithin(r io.Reader, limit int, take func(n int64) bool) (frame, error) {
	var f frame
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return f, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if int64(length) > int64(limit) {
		return f, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", length, limit)
	}
	size := int(length)
	f.size = len(header) + size
	body := make([]byte, min(size, frameStep))
	for read := 0; ; {
		n, err := io.ReadFull(r, body[read:])
		if err != nil {
			return f, err
		}
		read += n
		if read == size {
			break
		}
		larger := min(size, 2*read)
		if take != nil && !take(int64(larger)) {
			return f, errNoRoom
		}
		body = append(make([]byte, 0, larger), body...)[:larger]
	}
	return f, errors.Wrap(cbor.Unmarshal(body, &f), "decode frame")
}
