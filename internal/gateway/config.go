package gateway

import "time"

// Defaults of the fields of Config.
const (
	DefaultMaxBufferedBytes = 64 << 20
	DefaultEventQueueLimit  = 1024
	DefaultPeerReportMaxAge = 2 * time.Second
	DefaultProbeTimeout     = time.Second
	DefaultMaxSeries        = 256
)

// Config holds the static settings of the gateway.
type Config struct {
	// MaxBufferedBytes bounds the request bodies held in memory, in bytes. Default 64 MiB; zero means the default.
	MaxBufferedBytes int64
	// EventQueueLimit bounds the events waiting for the scheduler of one service. Default 1024; zero means the default.
	EventQueueLimit int
	// PeerReportMaxAge is how long a peer's report of free slots counts. Default 2 s; zero means the default.
	PeerReportMaxAge time.Duration
	// ProbeTimeout bounds one probe. Default 1 s; zero means the default.
	ProbeTimeout time.Duration
	// MaxSeries bounds the combinations of service, class and tenant with metrics of their own; later ones share one.
	// Default 256; zero means the default.
	MaxSeries int
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBufferedBytes, DefaultMaxBufferedBytes)
	setDefault(&c.EventQueueLimit, DefaultEventQueueLimit)
	setDefault(&c.PeerReportMaxAge, DefaultPeerReportMaxAge)
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
