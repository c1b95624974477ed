package peernet

import (
	"crypto/tls"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
)

const (
	// keepAlivePeriod is the time without other packets after which a keep-alive is sent, so that dead connections are detected.
	// With a period of 1 s keep-alives cost about 53 B/s. Usually heartbeats and renewals are sent before one is due.
	keepAlivePeriod = 500 * time.Millisecond
	// idleTimeout is well below the session TTL, so that a dead connection is replaced before the lease expires.
	idleTimeout      = 1500 * time.Millisecond
	handshakeTimeout = time.Second
	dialTimeout      = time.Second
	// messageQueueLength bounds the messages queued for one peer. Further messages are dropped, which the replicated log
	// tolerates.
	messageQueueLength = 1024
	// maxCallBytes bounds one call or response. The largest is a view, with about 100 B per upstream.
	maxCallBytes = 16 << 20
	// maxMessageBytes bounds one message. The largest is a snapshot, with about 360 B per claim.
	maxMessageBytes = 512 << 20
	// largeMessageBytes is the size above which a message gets its own stream, so that a snapshot does not delay the
	// heartbeats queued behind it.
	largeMessageBytes = 256 << 10
	// maxStreams bounds the streams that a peer may have open concurrently.
	maxStreams = 4096
	// alpnProtocol is the ALPN protocol name. It changes with every incompatible change of the framing.
	alpnProtocol = "bramleypick/1"
)

// Config configures a Network.
type Config struct {
	// Name is this process's name, which is also the common name of its certificate.
	Name string
	// Address is the UDP address to listen on, as IP:port.
	Address string
	// TLS authenticates both sides. It must require client certificates.
	TLS *tls.Config
	// Peers maps the names of the peers to their addresses.
	Peers map[string]string
	Log   *zap.Logger
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeTimeout,
		MaxIdleTimeout:             idleTimeout,
		KeepAlivePeriod:            keepAlivePeriod,
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      maxStreams,
		InitialStreamReceiveWindow: 64 << 10,
		DisablePathMTUDiscovery:    true,
	}
}
