package routing

// Config is one version of the configuration.
type Config struct {
	// Version is chosen by the operator. It increases, not necessarily by 1.
	Version uint64 `cbor:"1,keyasint"`
	// BaseVersion is the version that this one replaces, or 0 for the first version.
	BaseVersion uint64    `cbor:"2,keyasint,omitempty"`
	Routes      []Route   `cbor:"3,keyasint,omitempty"`
	Services    []Service `cbor:"4,keyasint,omitempty"`
	Limits      Limits    `cbor:"5,keyasint"`
	Accounts    []Account `cbor:"6,keyasint,omitempty"`
	// RequireKey is set if the configuration declares accounts, even if it has none. Requests then need the key of an account,
	// except on public routes.
	RequireKey bool `cbor:"7,keyasint,omitempty"`
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}
