package wal

import (
	"errors"
	"fmt"
)

// Errors of a Log.
var (
	// ErrFailed wraps the first failed write or fsync. The process must stop: what the disk holds is not known until
	// the directory is opened again.
	ErrFailed = errors.New("wal: log unusable after a failed write or fsync")
	// ErrClosed is returned by calls after Close.
	ErrClosed = errors.New("wal: log closed")
	// ErrStaleSnapshot is returned for a snapshot that is not newer than the last one. The Log stays usable.
	ErrStaleSnapshot = errors.New("wal: snapshot is not newer than the last one")
	// ErrOrder is returned for entries that leave a gap or lie within the snapshot. The Log stays usable.
	ErrOrder = errors.New("wal: entries do not continue the log")
	// ErrTooLarge is returned for a record whose length doesn't fit its header. The Log stays usable.
	ErrTooLarge = errors.New("wal: record too large")
)

// CorruptError reports damaged or missing durable state.
type CorruptError struct {
	File   string // path of the file
	Offset int64  // byte offset of the damaged record in the file
	Reason string
}

// Error returns file, offset and reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}
