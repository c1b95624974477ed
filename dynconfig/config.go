// Package dynconfig defines the dynamic configuration, which operators change at run time. It decodes and validates
// configurations and encodes them canonically, so that the same configuration always has the same bytes and digest.
package dynconfig

// Config is a whole configuration. It does not include its version, which the control group assigns.
type Config struct {
	// Zones are the availability zones that upstreams and gateways may be in.
	Zones []Zone `json:"zones"`
	// Services are the services that callers can reach.
	Services []Service `json:"services"`
	// ClientAccounts are the client accounts between which the slots are shared by weight.
	ClientAccounts []ClientAccount `json:"tenants,omitempty"`
	// Stops are the planned stops in force. Removing a stop returns the upstream or zone to service.
	Stops []Stop `json:"stops,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name"`
}

// ClientAccount is an account on whose behalf callers send requests.
type ClientAccount struct {
	Name string `json:"name"`
	// Weight is the account's share of the slots relative to other accounts when all slots are busy. Default 1; zero
	// means the default.
	Weight int `json:"weight,omitempty"`
}

// Stop is a planned stop of one upstream or of a whole availability zone. Exactly one field must be set.
type Stop struct {
	Zone     string `json:"zone,omitempty"`
	Upstream string `json:"upstream,omitempty"`
}
