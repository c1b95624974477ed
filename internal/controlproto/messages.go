// Package controlproto defines the messages between gateways and control replicas, and among gateways. All are encoded as
// CBOR with integer keys.
package controlproto

import (
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/resultcode"
)

// Request is the envelope of a call. Exactly one field is set.
type Request struct {
	Renew    *RenewRequest    `cbor:"1,keyasint,omitempty"`
	Watch    *WatchRequest    `cbor:"2,keyasint,omitempty"`
	Submit   *SubmitRequest   `cbor:"3,keyasint,omitempty"`
	Status   *StatusRequest   `cbor:"4,keyasint,omitempty"`
	Announce *AnnounceRequest `cbor:"5,keyasint,omitempty"`
}

// RenewRequest asks the leader to extend a session's lease.
type RenewRequest struct {
	SessionID uint64 `cbor:"1,keyasint"`
	// ViewIndex and ConfigVersion identify the view in force at the gateway. ConfigVersion is 0 before the session's first
	// lease.
	ViewIndex     uint64 `cbor:"2,keyasint"`
	ConfigVersion uint64 `cbor:"3,keyasint"`
	// Busy lists the upstreams at which this gateway has requests in flight and which are in a planned stop or no longer owned
	// by it.
	Busy []BusyUpstream `cbor:"4,keyasint,omitempty"`
	// NoLease is set if the gateway held no valid lease when it sent this renewal.
	NoLease bool `cbor:"5,keyasint,omitempty"`
}

// BusyUpstream is an upstream with requests in flight.
type BusyUpstream struct {
	ID       string `cbor:"1,keyasint"`
	InFlight int    `cbor:"2,keyasint"`
}

// RenewResponse is the response to RenewRequest.
type RenewResponse struct {
	Code resultcode.Code `cbor:"1,keyasint,omitempty"`
	// TTLMillis is the duration of the lease in ms. The gateway counts it from the time at which it sent the renewal.
	TTLMillis int64 `cbor:"2,keyasint,omitempty"`
	// View is set if the leader's view is newer than the request's ViewIndex.
	View *controlstate.View `cbor:"3,keyasint,omitempty"`
	// Leader is the leader's name if Code is NotLeader, or empty if the leader is unknown.
	Leader string `cbor:"4,keyasint,omitempty"`
}

// WatchRequest asks a replica for a view newer than ViewIndex. The replica waits for one for up to WaitMillis.
type WatchRequest struct {
	ViewIndex  uint64 `cbor:"1,keyasint"`
	WaitMillis int64  `cbor:"2,keyasint"`
}

// WatchResponse is the response to WatchRequest. View is nil if there was no newer view within the requested time.
type WatchResponse struct {
	View *controlstate.View `cbor:"1,keyasint,omitempty"`
}

// SubmitRequest asks the leader to commit a command. The leader sets the command's time.
type SubmitRequest struct {
	Command controlstate.Command `cbor:"1,keyasint"`
}

// SubmitResponse is the response to SubmitRequest. The code NotLeader means that the command was not appended to the log,
// and ChangeOutcomeUnknown that it may have been. Result, which has a code of its own, is set only if Code is OK.
type SubmitResponse struct {
	Code   resultcode.Code     `cbor:"1,keyasint,omitempty"`
	Result controlstate.Result `cbor:"2,keyasint"`
	Leader string              `cbor:"3,keyasint,omitempty"`
}

// StatusRequest asks the leader for its report.
type StatusRequest struct{}

// AnnounceRequest forwards an upstream's announcement to the gateway that owns the upstream.
type AnnounceRequest struct {
	UpstreamID string `cbor:"1,keyasint"`
	BootID     string `cbor:"2,keyasint"`
	InFlight   int    `cbor:"3,keyasint"`
}

// LoadReport tells a peer gateway how many more requests of a service this gateway could start now. It is sent as a message,
// not as a call, because the next report replaces a lost one.
type LoadReport struct {
	Service   string `cbor:"1,keyasint"`
	SessionID uint64 `cbor:"2,keyasint"`
	FreeSlots int    `cbor:"3,keyasint"`
}

// AnnounceResponse is the response to AnnounceRequest.
type AnnounceResponse struct {
	// Owned reports whether the gateway owns the upstream.
	Owned bool `cbor:"1,keyasint"`
}

// Report is the response to StatusRequest: the control group's state as reported by its leader. InForce is the lowest
// configuration version that the gateways with sessions have confirmed to this leader, or 0 if one of them has confirmed none.
type Report struct {
	Code          resultcode.Code  `cbor:"1,keyasint,omitempty" json:"-"`
	Leader        string           `cbor:"2,keyasint,omitempty" json:"leader"`
	Term          uint64           `cbor:"3,keyasint" json:"term"`
	CommitIndex   uint64           `cbor:"4,keyasint" json:"commit_index"`
	ConfigVersion uint64           `cbor:"5,keyasint" json:"config_version"`
	ConfigDigest  string           `cbor:"6,keyasint" json:"config_digest"`
	InForce       uint64           `cbor:"7,keyasint" json:"config_version_in_force_everywhere"`
	Gateways      []GatewayReport  `cbor:"8,keyasint" json:"gateways"`
	Replicas      []ReplicaReport  `cbor:"9,keyasint" json:"replicas"`
	Upstreams     []UpstreamReport `cbor:"10,keyasint" json:"upstreams"`
	Stops         []StopReport     `cbor:"11,keyasint,omitempty" json:"stops"`
	Blocked       []BlockedReport  `cbor:"12,keyasint,omitempty" json:"blocked_fingerprints,omitempty"`
}

// GatewayReport describes one gateway's session.
type GatewayReport struct {
	Name      string `cbor:"1,keyasint" json:"name"`
	SessionID uint64 `cbor:"2,keyasint" json:"session_id"`
	Zone      string `cbor:"3,keyasint" json:"zone"`
	// ConfigVersion is the version that the gateway has confirmed to this leader, or 0 if none yet.
	ConfigVersion uint64 `cbor:"4,keyasint" json:"config_version"`
	Leaving       bool   `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
	// SinceRenewalMillis is the time in ms since the last renewal that this leader granted, or -1 if it has granted none.
	SinceRenewalMillis int64 `cbor:"6,keyasint" json:"since_renewal_ms"`
}

// ReplicaReport describes one control replica.
type ReplicaReport struct {
	NodeID replog.NodeID `cbor:"1,keyasint" json:"node_id"`
	Name   string        `cbor:"2,keyasint" json:"name"`
	Voter  bool          `cbor:"3,keyasint" json:"voter"`
}

// UpstreamReport describes one upstream and its owner.
type UpstreamReport struct {
	ID       string `cbor:"1,keyasint" json:"id"`
	Service  string `cbor:"2,keyasint" json:"service"`
	Zone     string `cbor:"3,keyasint" json:"zone"`
	Owner    string `cbor:"4,keyasint,omitempty" json:"owner,omitempty"`
	Epoch    uint64 `cbor:"5,keyasint" json:"epoch"`
	MovingTo string `cbor:"6,keyasint,omitempty" json:"moving_to,omitempty"`
}

// StopReport describes a planned stop and what it waits for.
type StopReport struct {
	Zone     string `cbor:"1,keyasint,omitempty" json:"zone,omitempty"`
	Upstream string `cbor:"2,keyasint,omitempty" json:"upstream,omitempty"`
	Stopped  bool   `cbor:"3,keyasint" json:"stopped"`
	// WaitingFor describes, in one text each, what the stop still waits for.
	WaitingFor []string `cbor:"4,keyasint,omitempty" json:"waiting_for,omitempty"`
}

// BlockedReport describes a request fingerprint whose requests are refused.
type BlockedReport struct {
	Service     string    `cbor:"1,keyasint" json:"service"`
	Fingerprint string    `cbor:"2,keyasint" json:"fingerprint"`
	Until       time.Time `cbor:"3,keyasint" json:"until"`
}
