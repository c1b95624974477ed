package controlstate

import "github.com/bramleypick/bramleypick/dynconfig"

// View is the part of the replicated state that is sent to gateways. It is immutable once published.
type View struct {
	// Index is the log index of the last change visible in the view. Views with the same index are equal.
	Index         uint64               `cbor:"1,keyasint"`
	Config        dynconfig.Config     `cbor:"2,keyasint"`
	ConfigVersion uint64               `cbor:"3,keyasint"`
	ConfigDigest  string               `cbor:"4,keyasint"`
	Sessions      []SessionInfo        `cbor:"5,keyasint"` // Sorted by SessionID.
	Upstreams     []UpstreamInfo       `cbor:"6,keyasint"` // Sorted by id.
	Blocked       []BlockedFingerprint `cbor:"7,keyasint,omitempty"`
}

// SessionInfo describes a gateway's session. CallerAddress is the address (IP:port) for client requests and announcements of
// upstreams, and PeerAddress the address for connections from other processes of the system.
type SessionInfo struct {
	SessionID     uint64 `cbor:"1,keyasint"`
	Gateway       string `cbor:"2,keyasint"`
	Zone          string `cbor:"3,keyasint"`
	CallerAddress string `cbor:"4,keyasint"`
	PeerAddress   string `cbor:"5,keyasint"`
	Leaving       bool   `cbor:"6,keyasint,omitempty"`
}

// UpstreamInfo describes an upstream and its assignment.
type UpstreamInfo struct {
	ID             string `cbor:"1,keyasint"`
	Service        string `cbor:"2,keyasint"`
	Address        string `cbor:"3,keyasint"`
	Zone           string `cbor:"4,keyasint"`
	BootID         string `cbor:"5,keyasint"`
	Slots          int    `cbor:"6,keyasint"`
	MaxConnections int    `cbor:"7,keyasint"`
	// Owner is the session that may send requests to the upstream, or 0.
	Owner uint64 `cbor:"8,keyasint,omitempty"`
	// Epoch increases with every change of owner.
	Epoch uint64 `cbor:"9,keyasint"`
	// MovingTo is the session that gets the upstream when the owner releases it, or 0 if no handover is in progress.
	MovingTo uint64 `cbor:"10,keyasint,omitempty"`
	// Remaining is the number of requests that may still be in flight at the upstream from earlier owners, as reported by the
	// last release.
	Remaining int `cbor:"11,keyasint,omitempty"`
	// OwnerLost reports whether the last owner's session expired without a release. An unknown number of its requests, at
	// most Slots, may still run at the upstream.
	OwnerLost bool `cbor:"12,keyasint,omitempty"`
	// ReleasedBy lists the sessions that released the upstream with requests in flight and have not expired. A release
	// without requests in flight and a new boot id clear the list.
	ReleasedBy []uint64 `cbor:"13,keyasint,omitempty"`
	// OrphanedAtUnixMilli is the last time at which a session expired that may have requests in flight at the upstream, by the
	// leader's wall clock, in ms since the Unix epoch, or 0. Such requests run until their deadlines at the latest.
	OrphanedAtUnixMilli int64 `cbor:"14,keyasint,omitempty"`
}

// BlockedFingerprint is a request fingerprint that gateways reject.
type BlockedFingerprint struct {
	Service     string `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
	// UntilUnixMilli is the end of the block, by the leader's wall clock, in ms since the Unix epoch.
	UntilUnixMilli int64 `cbor:"3,keyasint"`
}

// Upstream returns the upstream with the given id, or nil.
func (v *View) Upstream(id string) *UpstreamInfo {
	for i := range v.Upstreams {
		if v.Upstreams[i].ID == id {
			return &v.Upstreams[i]
		}
	}
	return nil
}

// Session returns the session with the given id, or nil.
func (v *View) Session(id uint64) *SessionInfo {
	for i := range v.Sessions {
		if v.Sessions[i].SessionID == id {
			return &v.Sessions[i]
		}
	}
	return nil
}
