package rollout

// RouteCounts counts the requests of one route.
type RouteCounts struct {
	// Requests counts requests, and Old and New the attempts, including retries and hedges, by version.
	Requests uint64   `cbor:"1,keyasint,omitempty"`
	Old      Outcomes `cbor:"2,keyasint"`
	New      Outcomes `cbor:"3,keyasint"`
}

// ServiceReport is what one gateway has counted for a service since the order of its rollout.
type ServiceReport struct {
	// Order identifies the rollout.
	Order  uint64                 `cbor:"1,keyasint"`
	Routes map[string]RouteCounts `cbor:"2,keyasint,omitempty"`
	// OldInFlight is the number of attempts at the old version that have not ended.
	OldInFlight int `cbor:"3,keyasint,omitempty"`
}

// Report is what one gateway reports to the leader while a rollout is running. A later report replaces all earlier ones.
type Report struct {
	// Gateway and Incarnation identify the process of the gateway.
	Gateway     string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
	// Seq increases with each report of the process.
	Seq uint64 `cbor:"3,keyasint"`
	// Applied is the index of the view that the gateway applies to all its requests.
	Applied  uint64                   `cbor:"4,keyasint,omitempty"`
	Services map[string]ServiceReport `cbor:"5,keyasint,omitempty"`
}

// Supersedes reports whether r is newer than the last report of the same gateway.
func (r *Report) Supersedes(last *Report) bool {
	if r.Incarnation != last.Incarnation {
		return r.Incarnation > last.Incarnation
	}
	return r.Seq > last.Seq
}
