package dynconfig

import "fmt"

// Maximum lengths of the lists of a configuration. They exceed the target scale of 19,000 upstreams in 2,100 services.
const (
	MaxZones          = 256
	MaxServices       = 10_000
	MaxClasses        = 100 // In each service.
	MaxClientAccounts = 20_000
	MaxStops          = 50_000
)

// Validate returns every fault of the configuration, or nil.
func (c *Config) Validate() Faults {
	v := &validator{}
	v.zones(c)
	v.services(c)
	v.clientAccounts(c)
	v.stops(c)
	if len(v.faults) == 0 {
		v.size(c)
	}
	return v.faults
}

type validator struct {
	faults Faults
}

func (v *validator) add(path string, value any, allowed string) {
	v.faults = append(v.faults, Fault{path, formatValue(value), allowed})
}

func (v *validator) size(c *Config) {
	data, err := Canonical(*c)
	if err != nil {
		v.add("$", err.Error(), "numbers that JSON can express")
	} else if len(data) > MaxConfigBytes {
		v.add("$", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxConfigBytes))
	}
}

func (v *validator) length(path string, n, limit int) {
	if n > limit {
		v.add(path, n, fmt.Sprintf("at most %d elements", limit))
	}
}

// name checks that name is valid and not in seen, and adds it to seen.
func (v *validator) name(path, name string, seen map[string]bool) {
	if !ValidName(name) {
		v.add(path, name, allowedName)
		return
	}
	if seen[name] {
		v.add(path, name, "a name that is used once")
	}
	seen[name] = true
}

func (v *validator) zones(c *Config) {
	if len(c.Zones) == 0 {
		v.add("$.zones", "no zones", "at least one zone")
	}
	v.length("$.zones", len(c.Zones), MaxZones)
	seen := make(map[string]bool)
	for i, z := range c.Zones {
		v.name(fmt.Sprintf("$.zones[%d].name", i), z.Name, seen)
	}
}

func (v *validator) clientAccounts(c *Config) {
	v.length("$.tenants", len(c.ClientAccounts), MaxClientAccounts)
	seen := make(map[string]bool)
	for i, a := range c.ClientAccounts {
		path := fmt.Sprintf("$.tenants[%d]", i)
		v.name(path+".name", a.Name, seen)
		v.inRange(path+".weight", a.Weight, 0, maxClientAccountWeight)
	}
}

func (v *validator) stops(c *Config) {
	v.length("$.stops", len(c.Stops), MaxStops)
	zones := make(map[string]bool)
	for _, z := range c.Zones {
		zones[z.Name] = true
	}
	seen := make(map[Stop]bool)
	stoppedZones := make(map[string]bool)
	for i, s := range c.Stops {
		path := fmt.Sprintf("$.stops[%d]", i)
		switch {
		case (s.Zone == "") == (s.Upstream == ""):
			v.add(path, fmt.Sprintf("zone %+q and upstream %+q", s.Zone, s.Upstream), "exactly one of zone and upstream")
		case s.Zone != "" && !zones[s.Zone]:
			v.add(path+".zone", s.Zone, "a zone of the configuration")
		case s.Upstream != "" && !ValidName(s.Upstream):
			v.add(path+".upstream", s.Upstream, allowedName)
		case seen[s]:
			v.add(path, s.Zone+s.Upstream, "a stop that is declared once")
		}
		seen[s] = true
		if s.Zone != "" && zones[s.Zone] {
			stoppedZones[s.Zone] = true
		}
	}
	if len(zones) > 0 && len(stoppedZones) == len(zones) {
		v.add("$.stops", fmt.Sprintf("all %d zones are stopped", len(zones)), "at least one zone that is not stopped")
	}
}

// inRange checks that value is between low and high, both inclusive.
func (v *validator) inRange(path string, value, low, high int) {
	if value < low || value > high {
		v.add(path, value, fmt.Sprintf("%d to %d", low, high))
	}
}
