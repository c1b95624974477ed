package controlstate

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/bramleypick/bramleypick/dynconfig"
)

// horizonChange records that the key horizon of a class of a service may have been raised. Without it, a request whose claim
// expired under the shorter horizon could run again under the longer one.
type horizonChange struct {
	Service string `cbor:"1,keyasint"`
	// KeyFloorUnixMilli is the latest creation time of a key whose claim may have expired before the change.
	KeyFloorUnixMilli int64 `cbor:"2,keyasint"`
	// HorizonMillis is the longest horizon of the service since the change. It also applies to claims that gateways begin
	// under the earlier configuration.
	HorizonMillis int64 `cbor:"3,keyasint"`
	// UntilUnixMilli is the time from which every key created before the change is older than any horizon.
	UntilUnixMilli int64 `cbor:"4,keyasint"`
}

// keyedClass is a non-idempotent class of a service: its method, path prefix and key horizon in ms.
type keyedClass struct {
	method, prefix string
	horizon        int64
}

// keyedClasses returns the non-idempotent classes of a service. Their requests need claims.
func keyedClasses(s *dynconfig.Service) []keyedClass {
	if s == nil {
		return nil
	}
	var classes []keyedClass
	for _, c := range s.Classes {
		if !c.Idempotent {
			classes = append(classes, keyedClass{c.Method, c.PathPrefix, c.WithDefaults().KeyHorizonMillis})
		}
	}
	return classes
}

func byHorizon(a, b keyedClass) int {
	return cmp.Compare(a.horizon, b.horizon)
}

// recordHorizonChanges compares the current configuration with the next one and records the services whose key horizon may
// be raised.
func (m *Machine) recordHorizonChanges(next *dynconfig.Config) {
	s := &m.state
	for service, h := range s.horizons {
		if h.UntilUnixMilli < s.now {
			delete(s.horizons, service)
		}
	}
	later := servicesByName(next)
	for i := range s.config.Services {
		name := s.config.Services[i].Name
		before, after := keyedClasses(&s.config.Services[i]), keyedClasses(later[name])
		if len(before) == 0 || slices.Equal(before, after) {
			continue
		}
		// If no non-idempotent classes remain, later configurations may add some with any horizon.
		longest := int64(dynconfig.MaxKeyHorizonMillis)
		if len(after) > 0 {
			longest = slices.MaxFunc(after, byHorizon).horizon
		}
		if shortest := slices.MinFunc(before, byHorizon).horizon; longest > shortest {
			m.raiseHorizon(name, shortest, longest)
		}
	}
}

func (m *Machine) raiseHorizon(service string, from, to int64) {
	s := &m.state
	h := s.horizons[service]
	if h == nil {
		h = &horizonChange{Service: service}
		s.horizons[service] = h
	}
	h.KeyFloorUnixMilli = max(h.KeyFloorUnixMilli, s.now-from-ClockToleranceMillis)
	h.HorizonMillis = max(h.HorizonMillis, to)
	h.UntilUnixMilli = s.now + h.HorizonMillis + ClockToleranceMillis
	for _, c := range s.claims.byKey {
		if c.key.Service == service {
			c.horizonMillis = max(c.horizonMillis, h.HorizonMillis)
		}
	}
	heap.Init(&s.claims.expiry)
}

// mayHaveExpired reports whether a key without a claim may have had one that expired before a horizon was raised.
func (s *state) mayHaveExpired(c *BeginClaim) bool {
	h := s.horizons[c.Key.Service]
	return h != nil && c.KeyUnixMilli != 0 && c.KeyUnixMilli <= h.KeyFloorUnixMilli
}

// horizonOf returns the horizon of a claim that begins now, in ms. It is at least the shortest horizon of the service, even if
// the gateway requests a shorter one, because raiseHorizon assumes that no claim expires earlier.
func (s *state) horizonOf(c *BeginClaim) int64 {
	horizon := max(c.HorizonMillis, shortestHorizon(s.services[c.Key.Service]))
	if h := s.horizons[c.Key.Service]; h != nil && s.now <= h.UntilUnixMilli {
		horizon = max(horizon, h.HorizonMillis)
	}
	return horizon
}

// shortestHorizon returns the shortest key horizon of the service's non-idempotent classes, or 0 if it has none.
func shortestHorizon(service *dynconfig.Service) int64 {
	classes := keyedClasses(service)
	if len(classes) == 0 {
		return 0
	}
	return slices.MinFunc(classes, byHorizon).horizon
}

func (s *state) sortedHorizons() []*horizonChange {
	list := make([]*horizonChange, 0, len(s.horizons))
	for _, h := range s.horizons {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *horizonChange) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
