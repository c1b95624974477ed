package controlstate

import (
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

// applyConfig replaces the configuration by compare-and-set on its version. Accepted changes and conflicts are recorded, so
// that a retry gets the same result. An invalid configuration is not recorded, because a retry is rejected again anyway.
func (m *Machine) applyConfig(c *ApplyConfig) Result {
	s := &m.state
	if !lengthWithin(c.ChangeID, 1, maxIDBytes) {
		return m.configResult(resultcode.MalformedBody, "the change id must have 1 to 128 bytes")
	}
	first := s.changes.byID[c.ChangeID]
	config, canonical, err := parseConfig(c.JSON)
	if err != nil && first == nil {
		return m.configResult(resultcode.InvalidConfiguration, err.Error())
	}
	digest := dynconfig.Digest(canonical)
	if first != nil {
		if err != nil || first.BaseVersion != c.BaseVersion || first.Digest != digest {
			return m.configResult(resultcode.ChangeIDReused, "the change id was used for a different change")
		}
		return first.result()
	}
	if len(s.changes.order) >= maxRetainedChanges {
		return m.configResult(resultcode.ControlUnavailable, "too many changes within 24 hours")
	}
	r := Result{Code: resultcode.VersionConflict, Message: "the base version is not the current version"}
	if c.BaseVersion == s.configVersion {
		r = Result{}
		m.acceptConfig(config, canonical)
	}
	record := &changeRecord{
		ID: c.ChangeID, AtUnixMilli: s.now, BaseVersion: c.BaseVersion, Digest: digest,
		Code: r.Code, Message: r.Message, Version: s.configVersion, CurrentDigest: s.configDigest,
	}
	s.changes.add(record)
	return record.result()
}

// acceptConfig makes a valid configuration the current one under the next version.
func (m *Machine) acceptConfig(config dynconfig.Config, canonical []byte) {
	s := &m.state
	m.recordHorizonChanges(&config)
	s.setConfig(config, canonical)
	s.configVersion++
	m.removeUnconfigured()
	m.invalidateView()
}

func (m *Machine) configResult(code resultcode.Code, message string) Result {
	return Result{Code: code, Message: message, ConfigVersion: m.state.configVersion, ConfigDigest: m.state.configDigest}
}

func parseConfig(json []byte) (dynconfig.Config, []byte, error) {
	config, err := dynconfig.Parse(json)
	if err != nil {
		return config, nil, err
	}
	canonical, err := dynconfig.Canonical(config)
	return config, canonical, err
}
