package wal

import (
	"errors"
	"fmt"
)

// Errors of a Log.
var (
	// ErrFailed is returned by the first write or fsync that fails and by all later calls, together with the error of
	// that operation. The contents of the disk are unknown until the directory is opened again.
	ErrFailed = errors.New("wal: log unusable after a failed write or fsync")
	// ErrClosed is returned by calls after Close.
	ErrClosed = errors.New("wal: log closed")
	// ErrStaleSnapshot is returned for a snapshot that is not newer than the last one. The Log remains usable.
	ErrStaleSnapshot = errors.New("wal: snapshot is not newer than the last one")
	// ErrOrder is returned for entries that leave a gap or are covered by the snapshot, and for a commit index after
	// the last entry. The Log remains usable.
	ErrOrder = errors.New("wal: entries do not continue the log")
	// ErrTooLarge is returned for a record whose length exceeds the range of the length field. The Log remains usable.
	ErrTooLarge = errors.New("wal: record too large")
)

// CorruptError reports damaged or missing durable state.
type CorruptError struct {
	File   string // path of the file
	Offset int64  // byte offset of the damaged record in the file
	Reason string
}

// Error returns a message with the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}
