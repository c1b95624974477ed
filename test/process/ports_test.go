package process_test

import (
	"fmt"
	"net"
	"os"
	"testing"
)

const (
	firstPort, lastPort = 26200, 28999
	blockPorts          = 50
)

// reservePorts returns the first port of a block that no other run uses. A listener on the port before it marks the block as
// taken until the test ends.
func reservePorts(t *testing.T) int {
	t.Helper()
	blocks := (lastPort + 1 - firstPort) / blockPorts
	for i := range blocks {
		base := firstPort + (os.Getpid()+i)%blocks*blockPorts
		mark, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base))
		if err != nil {
			continue
		}
		if blockIsFree(base) {
			t.Cleanup(func() { mark.Close() })
			return base + 1
		}
		mark.Close()
	}
	t.Fatalf("no block of %d free ports from %d to %d", blockPorts, firstPort, lastPort)
	return 0
}

func blockIsFree(base int) bool {
	for port := base + 1; port < base+blockPorts; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		udp.Close()
	}
	return true
}
