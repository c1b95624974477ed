//go:build unix

package edge

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against the system calls that enable keep-alive on each connection to an upstream. Most connections carry one
// request, so that keep-alive is of no use.
func TestConnectionsHaveNoKeepAlive(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	conn, err := dial(t.Context(), listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	keepAlive := -1
	is.NoErr(raw.Control(func(fd uintptr) {
		keepAlive, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
	}))
	is.NoErr(err)
	is.Equal(keepAlive, 0)
}
