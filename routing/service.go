package routing

// Service describes the upstreams of one service.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// HealthPath is the path of the health endpoint. Empty means that upstreams have none.
	HealthPath string `cbor:"2,keyasint,omitempty"`
	// MaxConnections bounds the connections to one upstream from all callers together. Zero means unknown.
	MaxConnections int `cbor:"3,keyasint,omitempty"`
	// WarmupSeconds is how long an upstream is cold after its start.
	WarmupSeconds float64 `cbor:"4,keyasint,omitempty"`
	// WarmupRequestsPerSecond is how many requests per second a cold upstream can bear. Zero means no limit.
	WarmupRequestsPerSecond float64 `cbor:"5,keyasint,omitempty"`
	// Source is the service as the operator sent it; see Route.Source.
	Source []byte `cbor:"6,keyasint,omitempty"`
}
