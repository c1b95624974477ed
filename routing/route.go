package routing

// Route maps the requests to a host and a path prefix to one service, or to several services by weight.
type Route struct {
	Name       string `cbor:"1,keyasint"`
	Host       string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	Kind       Kind   `cbor:"4,keyasint"`
	// TimeoutMillis is the longest time until the response to a request, in ms. Zero means that the route has no limit.
	TimeoutMillis float64 `cbor:"5,keyasint,omitempty"`
	// TargetLatencyMillis is the latency objective in ms. Zero means none.
	TargetLatencyMillis float64 `cbor:"6,keyasint,omitempty"`
	// Priority is the priority of the route; 0 is the highest.
	Priority int `cbor:"7,keyasint,omitempty"`
	// MaxAttempts limits the upstreams to which one request may be sent. It must be at least 1.
	MaxAttempts int `cbor:"8,keyasint"`
	// Service is the service of the route. It is empty if Split is set.
	Service string `cbor:"9,keyasint,omitempty"`
	// Split distributes the requests to several services by weight.
	Split []WeightedService `cbor:"10,keyasint,omitempty"`
	// Source is the operator's original text of the route. It is stored and returned unchanged, and not interpreted.
	Source []byte `cbor:"11,keyasint,omitempty"`
	// Public requests need no key of an account.
	Public bool `cbor:"12,keyasint,omitempty"`
}

// WeightedService is a service of a traffic split with its weight.
type WeightedService struct {
	Service string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// WeightedServices returns the services of the route with their weights. A single service has the weight 1.
func (r *Route) WeightedServices() []WeightedService {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}
