package dynconfig

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Upper limits of the numbers of a configuration. They detect wrong units and typing errors, and ensure that sums do not
// overflow.
const (
	maxClientAccountWeight = 1000
	maxGatewaysPerZone     = 64
	maxMaxUpstreams        = 20_000
	maxQueueLimit          = 1_000_000
	maxSlots               = 10_000
	maxProbesPerSecond     = 1000
	maxProbeBytesPerSecond = 1 << 20
	maxPriority            = 1000
	maxAddressTTLMillis    = 60 * 60 * 1000
	maxTimeoutMillis       = 24 * 60 * 60 * 1000
	maxBodyBytes           = 1 << 30
)

// MaxKeyHorizonMillis limits how long claims are kept, because each claim takes memory in every control replica.
const MaxKeyHorizonMillis = 7 * 24 * 60 * 60 * 1000

var (
	policies = []Policy{PolicyOwner, PolicyRandom, PolicyTwoChoices}
	methods  = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

func (v *validator) services(c *Config) {
	v.length("$.services", len(c.Services), MaxServices)
	seen := make(map[string]bool)
	for i := range c.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		v.name(path+".name", c.Services[i].Name, seen)
		v.service(path, &c.Services[i])
	}
}

func (v *validator) service(path string, s *Service) {
	v.inRange(path+".gateways_per_zone", s.GatewaysPerZone, 0, maxGatewaysPerZone)
	v.inRange(path+".max_upstreams", s.MaxUpstreams, 0, maxMaxUpstreams)
	v.inRange(path+".queue_limit", s.QueueLimit, 0, maxQueueLimit)
	v.inRange(path+".over_allowance", s.OverAllowance, 0, maxSlots)
	v.inRange(path+".cold_slots", s.ColdSlots, 0, maxSlots)
	v.inRange(path+".probe_bytes_per_second", s.ProbeBytesPerSecond, 0, maxProbeBytesPerSecond)
	v.inRange(path+".address_ttl_ms", s.AddressTTLMillis, 0, maxAddressTTLMillis)
	// -1 means no retries. Other negative numbers are rejected, so that "no retries" has only one encoding.
	v.inRange(path+".retry_percent", s.RetryPercent, -1, 100)
	if p := s.ProbesPerSecond; math.IsNaN(p) || p < 0 || p > maxProbesPerSecond {
		v.add(path+".probes_per_second", p, fmt.Sprintf("0 to %d", maxProbesPerSecond))
	}
	if s.Policy != "" && !slices.Contains(policies, s.Policy) {
		v.add(path+".policy", string(s.Policy), fmt.Sprintf("one of %q", policies))
	}
	v.classes(path+".classes", s)
}

func (v *validator) classes(path string, s *Service) {
	if len(s.Classes) == 0 {
		v.add(path, "no classes", "at least one class")
	}
	v.length(path, len(s.Classes), MaxClasses)
	names := make(map[string]bool)
	routes := make(map[[2]string]bool)
	for i := range s.Classes {
		c, path := &s.Classes[i], fmt.Sprintf("%s[%d]", path, i)
		v.name(path+".name", c.Name, names)
		v.class(path, s.Name, c)
		route := [2]string{c.Method, c.PathPrefix}
		if routes[route] {
			v.add(path, fmt.Sprintf("method %+q and path prefix %+q", c.Method, c.PathPrefix), "a pair that is used once in the service")
		}
		routes[route] = true
	}
}

func (v *validator) class(path, service string, c *Class) {
	if c.Method != "" && !slices.Contains(methods, c.Method) {
		v.add(path+".method", c.Method, fmt.Sprintf("empty or one of %q", methods))
	}
	v.pathPrefix(path+".path_prefix", service, c.PathPrefix)
	v.inRange(path+".priority", c.Priority, 0, maxPriority)
	v.inRange(path+".timeout_ms", c.TimeoutMillis, 0, maxTimeoutMillis)
	v.inRange(path+".max_body_bytes", c.MaxBodyBytes, 0, maxBodyBytes)
	v.inRange(path+".hedge_after_ms", c.HedgeAfterMillis, 0, maxTimeoutMillis)
	if !c.Idempotent && c.HedgeAfterMillis > 0 {
		v.add(path+".hedge_after_ms", c.HedgeAfterMillis, "0 in a class that is not idempotent")
	}
	// With a horizon shorter than the timeout, the claim of a request that may still be running would be deleted.
	low := max(1, int64(c.WithDefaults().TimeoutMillis))
	if h := c.KeyHorizonMillis; h != 0 && (h < low || h > MaxKeyHorizonMillis) {
		v.add(path+".key_horizon_ms", h, fmt.Sprintf("0, or from the class's timeout (%d) to %d", low, MaxKeyHorizonMillis))
	}
}

// maxPathPrefixBytes limits the path prefix of a class.
const maxPathPrefixBytes = 512

func (v *validator) pathPrefix(path, service, prefix string) {
	rest, inside := strings.CutPrefix(prefix, "/"+service)
	if !inside || rest != "" && rest[0] != '/' {
		v.add(path, prefix, fmt.Sprintf("%+q, or a path below it", "/"+service))
		return
	}
	if len(prefix) > maxPathPrefixBytes || !unambiguousPath(rest) {
		v.add(path, prefix, fmt.Sprintf("at most %d bytes; segments of A-Z a-z 0-9 . _ - ~, none of them empty, . or ..", maxPathPrefixBytes))
	}
}

// unambiguousPath reports whether gateways and upstreams interpret path in the same way, even if they clean or unescape
// paths differently.
func unambiguousPath(path string) bool {
	segments := strings.Split(strings.TrimSuffix(path, "/"), "/")
	for _, s := range segments[1:] {
		if s == "" || s == "." || s == ".." {
			return false
		}
		for i := range len(s) {
			if c := s[i]; !alphanumeric(c) && !strings.ContainsRune("._-~", rune(c)) {
				return false
			}
		}
	}
	return true
}
