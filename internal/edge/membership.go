package edge

import "github.com/bramleypick/bramleypick/placement"

// membership implements balancing.Membership.
type membership struct {
	self         string
	connected    bool
	coldOwners   *placement.Owners
	limitSenders *placement.Senders
}

// OwnsCold implements balancing.Membership.
func (m *membership) OwnsCold(id, zone string) bool {
	return m.connected && m.coldOwners.Owner(placement.Key{Name: id, Zone: zone}) == m.self
}

// IsSender implements balancing.Membership.
func (m *membership) IsSender(id string, senders int) bool {
	return m.limitSenders.IsSender(id, m.self, senders)
}
