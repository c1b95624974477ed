// Package resultcode defines the numbered result codes of the errors that bramleypick itself reports to callers,
// upstreams and operators. docs/errors.md contains the same table, which a test compares with this package. The number
// and the meaning of a code never change.
package resultcode

// Code is a result code. Zero means success.
type Code uint16

// Success, and the codes of requests that did not run (1xxx): either no byte was sent to an upstream, or the upstream stated
// that it did not start the request.
const (
	OK                     Code = 0
	UnknownService         Code = 1001
	UnknownClass           Code = 1002
	UnknownClientAccount   Code = 1003
	MalformedRequest       Code = 1004
	RequestTooLarge        Code = 1005
	IdempotencyKeyRequired Code = 1006
	DeadlineBeforeStart    Code = 1007
	QueueFull              Code = 1008
	ShedByPriority         Code = 1009
	NoUpstream             Code = 1010
	LeaseLost              Code = 1011
	UpstreamRefused        Code = 1012
	FingerprintBlocked     Code = 1013
	ShuttingDown           Code = 1014
	ControlUnavailable     Code = 1015
	ClientAccountLimit     Code = 1016
	UnknownRoute           Code = 1017
	RequestLimitReached    Code = 1018
	UpstreamsPaused        Code = 1019
	UnknownKey             Code = 1020
	QuotaExceeded          Code = 1021
	ClientResources        Code = 1022
)

// Codes of requests that may have run at an upstream (2xxx).
const (
	OutcomeUnknown        Code = 2001
	ClaimRunning          Code = 2002
	ClaimOutcomeUnknown   Code = 2003
	ClaimExpired          Code = 2004
	ClaimMismatch         Code = 2005
	DeadlineAfterStart    Code = 2006
	BrokenResponse        Code = 2007
	ResponseNotRecorded   Code = 2008
	UpstreamConnectionCut Code = 2009
)

// Codes of configuration changes, announcements, commands to the control group, and the operator API (3xxx).
const (
	VersionConflict       Code = 3001
	InvalidConfiguration  Code = 3002
	NotLeader             Code = 3003
	NoQuorum              Code = 3004
	ChangeOutcomeUnknown  Code = 3005
	Unauthorized          Code = 3006
	BodyTooLarge          Code = 3007
	MalformedBody         Code = 3008
	UpstreamAddressInUse  Code = 3009
	UpstreamSourceAddress Code = 3010
	UpstreamLimit         Code = 3011
	UnknownUpstream       Code = 3012
	UnknownZone           Code = 3013
	StaleEpoch            Code = 3014
	UnknownSession        Code = 3015
	UnknownClaim          Code = 3016
	MalformedCommand      Code = 3017
	ChangeIDReused        Code = 3018
	RolloutInProgress     Code = 3019
)
