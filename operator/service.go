package operator

import (
	"time"

	"github.com/bramleypick/bramleypick/dynconfig"
)

// Service declares one service. Its setters return the Service, so that calls can be chained.
type Service struct {
	config  dynconfig.Service
	classes []*Class
}

// Service returns the service with the given name and declares it if necessary.
func (b *Builder) Service(name string) *Service {
	for _, s := range b.services {
		if s.config.Name == name {
			return s
		}
	}
	s := &Service{config: dynconfig.Service{Name: name}}
	b.services = append(b.services, s)
	return s
}

// GatewaysPerZone sets the number of gateways in each zone that serve the service. Default 2.
func (s *Service) GatewaysPerZone(n int) *Service { s.config.GatewaysPerZone = n; return s }

// Policy sets the upstream selection policy. Default dynconfig.PolicyOwner.
func (s *Service) Policy(p dynconfig.Policy) *Service { s.config.Policy = p; return s }

// MaxUpstreams sets the maximum number of registered upstreams. Default 200.
func (s *Service) MaxUpstreams(n int) *Service { s.config.MaxUpstreams = n; return s }

// QueueLimit sets the maximum number of queued requests in one gateway. Default 256.
func (s *Service) QueueLimit(n int) *Service { s.config.QueueLimit = n; return s }

// OverAllowance allows a warm upstream to have n idempotent requests in flight in addition to its slots while all slots
// are busy. Default 0. Set it only for upstreams that queue such requests instead of failing.
func (s *Service) OverAllowance(n int) *Service { s.config.OverAllowance = n; return s }

// ColdSlots sets the number of requests that an upstream in cold start may have in flight. Default 1.
func (s *Service) ColdSlots(n int) *Service { s.config.ColdSlots = n; return s }

// ProbeBudget sets the probe budget of each upstream, summed over all gateways. Defaults 1 request and 1024 bytes per
// second.
func (s *Service) ProbeBudget(requestsPerSecond float64, bytesPerSecond int) *Service {
	s.config.ProbesPerSecond, s.config.ProbeBytesPerSecond = requestsPerSecond, bytesPerSecond
	return s
}

// RetryPercent sets the budget of retries and hedges as a percentage of first attempts, 1 to 100. Default 10.
func (s *Service) RetryPercent(n int) *Service { s.config.RetryPercent = n; return s }

// NoRetries disables retries and hedges.
func (s *Service) NoRetries() *Service { return s.RetryPercent(-1) }

// AddressTTL sets how long callers may cache an address response, in whole milliseconds. Default 2 s.
func (s *Service) AddressTTL(d time.Duration) *Service {
	s.config.AddressTTLMillis = int(ceilMillis(d))
	return s
}

// Class returns the class with the given name and declares it if necessary. A new class matches every method and every
// path of the service, and is not idempotent.
func (s *Service) Class(name string) *Class {
	for _, c := range s.classes {
		if c.config.Name == name {
			return c
		}
	}
	c := &Class{config: dynconfig.Class{Name: name, PathPrefix: "/" + s.config.Name}}
	s.classes = append(s.classes, c)
	return c
}

func (s *Service) build() dynconfig.Service {
	config := s.config
	config.Classes = nil
	for _, c := range s.classes {
		config.Classes = append(config.Classes, c.config)
	}
	return config
}
