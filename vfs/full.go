package vfs

import (
	"errors"
	"syscall"
)

// IsFull reports whether an operation failed because the disk, or the part of it that the process may use, is full.
func IsFull(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }
