package gateway

import "time"

// Defaults of the fields of Config.
const (
	DefaultMaxBufferedBytes = 64 << 20
	DefaultEventQueue       = 1024
	DefaultPeerLoadAge      = 2 * time.Second
	DefaultProbeTimeout     = time.Second
	DefaultMaxSeries        = 256
)

// Config holds the static settings of the gateway.
type Config struct {
	// MaxBufferedBytes bounds the request bodies held in memory, in bytes. Default 64 MiB; zero means the default.
	MaxBufferedBytes int64
	// EventQueue bounds the events waiting for the scheduler of one service. Default 1024; zero means the default.
	EventQueue int
	// PeerLoadAge is how long a peer's report of free slots counts. Default 2 s; zero means the default.
	PeerLoadAge time.Duration
	// ProbeTimeout bounds one probe. Default 1 s; zero means the default.
	ProbeTimeout time.Duration
	// MaxSeries bounds the combinations of service, class and tenant with metrics of their own; later ones share one.
	// Default 256; zero means the default.
	MaxSeries int
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBufferedBytes, DefaultMaxBufferedBytes)
	setDefault(&c.EventQueue, DefaultEventQueue)
	setDefault(&c.PeerLoadAge, DefaultPeerLoadAge)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.MaxSeries, DefaultMaxSeries)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
