//go:build !unix

package socketbuffer

import "syscall"

// Limit returns nil, so that the system decides.
func Limit(int) func(network, address string, c syscall.RawConn) error { return nil }
