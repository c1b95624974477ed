//go:build unix

package upstreamconn

import "syscall"

// noPendingBytes tries to read one byte without waiting. A byte that it takes is lost, which does no harm, because the
// connection is closed then.
func noPendingBytes(fd uintptr) bool {
	var b [1]byte
	_, err := syscall.Read(int(fd), b[:])
	return err == syscall.EAGAIN
}
