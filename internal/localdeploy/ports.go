package localdeploy

import (
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
)

// ReservePorts returns the first of count free loopback ports between first and last. A listener on the port before them
// marks them as taken, so that parallel runs that reserve blocks of the same size never share one; release closes it.
func ReservePorts(first, last, count int) (base int, release func(), err error) {
	blocks := (last + 1 - first) / (count + 1)
	for i := range blocks {
		base := first + (os.Getpid()+i)%blocks*(count+1)
		mark, err := net.Listen("tcp", loopback(base))
		if err != nil {
			continue
		}
		if portsFree(base+1, count) {
			return base + 1, func() { mark.Close() }, nil
		}
		mark.Close()
	}
	return 0, nil, errors.Errorf("no %d free ports in a row from %d to %d", count, first, last)
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
