package localdeploy

import (
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
)

// ReservePorts finds count consecutive free loopback ports between first and last and returns the first of them. A
// listener on the port before them marks the block as reserved, so that parallel runs with the same arguments never share
// a block. release closes that listener.
func ReservePorts(first, last, count int) (base int, release func(), err error) {
	blocks := (last + 1 - first) / (count + 1)
	for i := range blocks {
		base := first + (os.Getpid()+i)%blocks*(count+1)
		guard, err := net.Listen("tcp", loopback(base))
		if err != nil {
			continue
		}
		if portsFree(base+1, count) {
			return base + 1, func() { guard.Close() }, nil
		}
		guard.Close()
	}
	return 0, nil, errors.Errorf("no block of %d consecutive free ports from %d to %d", count, first, last)
}

func portsFree(base, count int) bool {
	for port := base; port < base+count; port++ {
		tcp, err := net.Listen("tcp", loopback(port))
		if err != nil {
			return false
		}
		tcp.Close()
		udp, err := net.ListenPacket("udp", loopback(port))
		if err != nil {
			return false
		}
		udp.Close()
	}
	return true
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
