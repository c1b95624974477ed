package wal

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// recordType tells what a record's payload is.
type recordType uint8

const (
	recordHeader   recordType = 1 // segmentHeader, first record of a segment
	recordBatch    recordType = 2 // batch, one for each Save
	recordSnapshot recordType = 3 // replog.Snapshot, the only record of a snapshot file
)

// frameBytes is the size of what precedes a payload: length (4 bytes, little endian), type (1), CRC-32C (4).
const frameBytes = 9

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one record read from a file.
type record struct {
	kind    recordType
	payload []byte
	end     int // offset of the next record
}

// fillFrame fills the first frameBytes of buf, which precede the payload. The checksum covers the number of the file
// and the offset, so that a copy of a record in another place, for instance in the data of an entry, is not valid.
func fillFrame(buf []byte, kind recordType, file uint64, offset int64) error {
	length := len(buf) - frameBytes
	if length > math.MaxUint32 {
		return ErrTooLarge
	}
	binary.LittleEndian.PutUint32(buf, uint32(length))
	buf[4] = byte(kind)
	binary.LittleEndian.PutUint32(buf[5:], checksum(buf[:5], buf[frameBytes:], file, offset))
	return nil
}

// readRecord returns the record at offset and false if there is no valid one.
func readRecord(data []byte, file uint64, offset int) (record, bool) {
	if len(data)-offset < frameBytes {
		return record{}, false
	}
	frame := data[offset : offset+frameBytes]
	length := int64(binary.LittleEndian.Uint32(frame))
	kind := recordType(frame[4])
	if kind < recordHeader || kind > recordSnapshot || length > int64(len(data)-offset-frameBytes) {
		return record{}, false
	}
	end := offset + frameBytes + int(length)
	payload := data[offset+frameBytes : end]
	if binary.LittleEndian.Uint32(frame[5:]) != checksum(frame[:5], payload, file, int64(offset)) {
		return record{}, false
	}
	return record{kind: kind, payload: payload, end: end}, true
}

// hasRecordAfter reports whether a valid record starts anywhere after offset. The damaged record at offset was then
// acknowledged, since the next one is written only after its fsync.
func hasRecordAfter(data []byte, file uint64, offset int) bool {
	for next := offset + 1; next+frameBytes <= len(data); next++ {
		if _, ok := readRecord(data, file, next); ok {
			return true
		}
	}
	return false
}

func checksum(lengthAndType, payload []byte, file uint64, offset int64) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], file)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	sum := crc32.Update(0, castagnoli, place[:])
	sum = crc32.Update(sum, castagnoli, lengthAndType)
	return crc32.Update(sum, castagnoli, payload)
}
