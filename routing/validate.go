package routing

import (
	"crypto/sha256"
	"math"
	"strings"

	"github.com/pkg/errors"
)

// Validate returns the first error found in the configuration, or nil.
func (c *Config) Validate() error {
	if c.Version == 0 {
		return errors.New("version: must be above 0")
	}
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return errors.Errorf("services: name %q is empty or repeated", s.Name)
		}
		services[s.Name] = true
	}
	names := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Name == "" || names[r.Name] {
			return errors.Errorf("routes: name %q is empty or repeated", r.Name)
		}
		names[r.Name] = true
		if err := r.validate(services); err != nil {
			return errors.Wrapf(err, "route %s", r.Name)
		}
	}
	return c.validateAccounts()
}

func (c *Config) validateAccounts() error {
	names := make(map[string]bool, len(c.Accounts))
	owners := make(map[string]string) // by key digest
	for i := range c.Accounts {
		a := &c.Accounts[i]
		if a.Name == "" || names[a.Name] {
			return errors.Errorf("accounts: name %q is empty or repeated", a.Name)
		}
		names[a.Name] = true
		if !(a.RequestsPerSecond >= 0) || !(a.Burst >= 0) || math.IsInf(a.RequestsPerSecond, 0) || math.IsInf(a.Burst, 0) {
			return errors.Errorf("account %s: the rate or the burst is below 0 or not a number", a.Name)
		}
		for _, digest := range a.KeyDigests {
			if len(digest) != sha256.Size {
				return errors.Errorf("account %s: a key digest has %d bytes instead of %d", a.Name, len(digest), sha256.Size)
			}
			if owner, taken := owners[string(digest)]; taken && owner != a.Name {
				return errors.Errorf("accounts %s and %s share a key", owner, a.Name)
			}
			owners[string(digest)] = a.Name
		}
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.New("host is empty")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return errors.Errorf("path prefix %q does not begin and end with a slash", r.PathPrefix)
	case !r.Kind.valid():
		return errors.New("unknown kind")
	case r.MaxAttempts < 1:
		return errors.New("max attempts must be at least 1")
	case r.TimeoutMillis < 0 || math.IsNaN(r.TimeoutMillis):
		return errors.New("timeout is below 0")
	}
	total := 0.0
	for _, s := range r.WeightedServices() {
		if !services[s.Service] {
			return errors.Errorf("unknown service %q", s.Service)
		}
		if s.Weight < 0 || math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0) {
			return errors.New("a weight is below 0 or not a number")
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("the weights add up to 0")
	}
	return nil
}
