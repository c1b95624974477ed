package wal

import (
	"bytes"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleypick/bramleypick/replog"
)

// formatVersion is the version of the file format. Open rejects files with any other version.
const formatVersion = 1

// headerBytes is the fixed size of a segment's first record, which is padded with zeros. A header takes at most 118
// bytes, with the largest number in every field. A file longer than headerBytes also has other records, so its header
// was synced before them, and a damaged header in it is not a torn write.
const headerBytes = 160

// entryPosition identifies an entry.
type entryPosition struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// segmentHeader is the state of the log at the start of a segment.
type segmentHeader struct {
	Version      uint64           `cbor:"1,keyasint"`
	Segment      uint64           `cbor:"2,keyasint"`
	FirstSegment uint64           `cbor:"3,keyasint"` // oldest segment in use
	Snapshot     entryPosition    `cbor:"4,keyasint"` // index 0 means no snapshot
	Last         entryPosition    `cbor:"5,keyasint"` // end of the log
	HardState    replog.HardState `cbor:"6,keyasint"`
}

// batch holds the arguments of one Save.
type batch struct {
	HardState *replog.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []replog.Entry    `cbor:"2,keyasint,omitempty"`
}

var (
	encoder = must(cbor.EncOptions{}.UserBufferEncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeRecord writes one record to buf, which must be empty.
func encodeRecord(buf *bytes.Buffer, kind recordType, payload any, file uint64, offset int64) error {
	buf.Write(make([]byte, frameBytes))
	if err := encoder.MarshalToBuffer(payload, buf); err != nil {
		return err
	}
	if kind == recordHeader {
		if buf.Len() > headerBytes {
			return ErrTooLarge
		}
		buf.Write(make([]byte, headerBytes-buf.Len()))
	}
	return fillFrame(buf.Bytes(), kind, file, offset)
}

func decodeHeader(payload []byte) (segmentHeader, error) {
	var header segmentHeader
	if _, err := decoder.UnmarshalFirst(payload, &header); err != nil {
		return header, err
	}
	if header.Version != formatVersion {
		return header, fmt.Errorf("format version is %d, want %d", header.Version, formatVersion)
	}
	return header, nil
}
