package peernet

import (
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
)

// idleCheckInterval is the time between two checks of a connection.
const idleCheckInterval = idleTimeout / 6

// closeWhenIdle closes a connection once no packet has been received for idleTimeout. A live peer sends a keep-alive every
// keepAlivePeriod, so such a connection is dead. QUIC's own idle timeout does not suffice: it is at least three of QUIC's probe
// timeouts (PTO), and a single late response makes these long. After a process was paused for 8 s, its dead connections stayed
// open for another 27 s, and every call on them timed out.
func (n *Network) closeWhenIdle(p *peer, conn *quic.Conn) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	var received uint64
	lastReceived := time.Now()
	for {
		select {
		case <-conn.Context().Done():
			return
		case <-ticker.C:
		}
		// Read the clock here, because the tick may be from before the process was paused.
		now := time.Now()
		if packets := conn.ConnectionStats().PacketsReceived; packets != received {
			received, lastReceived = packets, now
			continue
		}
		if now.Sub(lastReceived) > idleTimeout {
			n.cfg.Log.Info("closing a connection on which nothing was received", zap.String("peer", p.name), zap.Duration("silent", now.Sub(lastReceived)))
			p.clearConn(conn)
			conn.CloseWithError(2, "silent")
			return
		}
	}
}
