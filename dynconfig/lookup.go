package dynconfig

import "strings"

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// HasZone reports whether the configuration has an availability zone with the given name.
func (c *Config) HasZone(name string) bool {
	for _, z := range c.Zones {
		if z.Name == name {
			return true
		}
	}
	return false
}

// HasClientAccount reports whether the configuration has a client account with the given name.
func (c *Config) HasClientAccount(name string) bool {
	for _, a := range c.ClientAccounts {
		if a.Name == name {
			return true
		}
	}
	return false
}

// ZoneStopped reports whether a planned stop of the availability zone is in force.
func (c *Config) ZoneStopped(zone string) bool {
	for _, s := range c.Stops {
		if s.Zone != "" && s.Zone == zone {
			return true
		}
	}
	return false
}

// UpstreamStopped reports whether a planned stop of the upstream or of its availability zone is in force.
func (c *Config) UpstreamStopped(id, zone string) bool {
	for _, s := range c.Stops {
		if s.Upstream != "" && s.Upstream == id {
			return true
		}
	}
	return c.ZoneStopped(zone)
}

// Class returns the class of a request, or nil if none matches. The class with the longest matching path prefix wins;
// among classes with the same prefix, one that names the method wins over one that matches every method. A prefix
// matches whole path segments only.
func (s *Service) Class(method, path string) *Class {
	var best *Class
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.matches(method, path) && c.moreSpecificThan(best) {
			best = c
		}
	}
	return best
}

func (c *Class) matches(method, path string) bool {
	if c.Method != "" && c.Method != method {
		return false
	}
	rest, ok := strings.CutPrefix(path, c.PathPrefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(c.PathPrefix, "/"))
}

func (c *Class) moreSpecificThan(other *Class) bool {
	switch {
	case other == nil:
		return true
	case len(c.PathPrefix) != len(other.PathPrefix):
		return len(c.PathPrefix) > len(other.PathPrefix)
	default:
		return c.Method != "" && other.Method == ""
	}
}
