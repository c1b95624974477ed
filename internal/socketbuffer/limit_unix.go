//go:build unix

package socketbuffer

import "syscall"

// Limit returns a function for the field Control of net.Dialer and net.ListenConfig that limits the receive buffers of the connections to
// some bytes. It applies before they open, because a buffer that shrinks later does not take back the window it has announced.
func Limit(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}
}
