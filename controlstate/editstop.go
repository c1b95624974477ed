package controlstate

import (
	"fmt"
	"slices"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

// editStop changes the planned stops of the current configuration. Adding a stop that is in force and removing one that is
// not are accepted without a new version.
func (m *Machine) editStop(c *EditStop) Result {
	s := &m.state
	if !lengthWithin(c.ChangeID, 1, maxIDBytes) {
		return m.configResult(resultcode.MalformedRequest, "the change id must have 1 to 128 bytes")
	}
	digest := c.digest()
	if first := s.changes.byID[c.ChangeID]; first != nil {
		if first.Digest != digest {
			return m.configResult(resultcode.ChangeIDReused, "the change id was used for a different change")
		}
		return first.result()
	}
	if len(s.changes.order) >= maxRetainedChanges {
		return m.configResult(resultcode.ControlUnavailable, "too many changes within 24 hours")
	}
	base := s.configVersion
	if slices.Contains(s.config.Stops, c.Stop) == c.Remove {
		if rejection := m.acceptStops(c.applyTo(s.config.Stops)); rejection != nil {
			return *rejection
		}
	}
	record := &changeRecord{
		ID: c.ChangeID, AtUnixMilli: s.now, BaseVersion: base, Digest: digest,
		Version: s.configVersion, CurrentDigest: s.configDigest,
	}
	s.changes.add(record)
	return record.result()
}

// acceptStops accepts the current configuration with the given stops. If that is invalid, for example because it stops all
// zones, it returns the result of the rejection instead.
func (m *Machine) acceptStops(stops []dynconfig.Stop) *Result {
	config := m.state.config
	config.Stops = stops
	if faults := config.Validate(); len(faults) > 0 {
		r := m.configResult(resultcode.InvalidConfiguration, faults.Error())
		return &r
	}
	canonical, err := dynconfig.Canonical(config)
	if err == nil {
		config, err = dynconfig.Parse(canonical)
	}
	if err != nil {
		r := m.configResult(resultcode.InvalidConfiguration, err.Error())
		return &r
	}
	m.acceptConfig(config, canonical)
	return nil
}

func (c *EditStop) applyTo(stops []dynconfig.Stop) []dynconfig.Stop {
	if c.Remove {
		return slices.DeleteFunc(slices.Clone(stops), func(s dynconfig.Stop) bool { return s == c.Stop })
	}
	return append(slices.Clone(stops), c.Stop)
}

// digest distinguishes this change from others with the same id. It never equals the digest of a configuration.
func (c *EditStop) digest() string {
	return fmt.Sprintf("edit stop remove=%v zone=%q upstream=%q", c.Remove, c.Stop.Zone, c.Stop.Upstream)
}
