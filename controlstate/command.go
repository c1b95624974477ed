package controlstate

// Kind tells which field of a Command is set.
type Kind uint8

// Kinds of commands.
const (
	KindApplyConfig Kind = iota + 1
	KindOpenSession
	KindLeaveSession
	KindExpireSession
	KindRegisterUpstream
	KindRemoveUpstream
	KindAssign
	KindRelease
	KindBeginClaim
	KindFinishClaim
	KindReleaseClaim
	KindReportCrash
)

// Command is one change of the replicated state. Exactly the field named by Kind is set.
type Command struct {
	// AtUnixMilli is the leader's wall clock when it proposed the command, in ms since the Unix epoch.
	AtUnixMilli      int64             `cbor:"1,keyasint"`
	Kind             Kind              `cbor:"2,keyasint"`
	ApplyConfig      *ApplyConfig      `cbor:"3,keyasint,omitempty"`
	OpenSession      *OpenSession      `cbor:"4,keyasint,omitempty"`
	LeaveSession     *LeaveSession     `cbor:"5,keyasint,omitempty"`
	ExpireSession    *ExpireSession    `cbor:"6,keyasint,omitempty"`
	RegisterUpstream *RegisterUpstream `cbor:"7,keyasint,omitempty"`
	RemoveUpstream   *RemoveUpstream   `cbor:"8,keyasint,omitempty"`
	Assign           *Assign           `cbor:"9,keyasint,omitempty"`
	Release          *Release          `cbor:"10,keyasint,omitempty"`
	BeginClaim       *BeginClaim       `cbor:"11,keyasint,omitempty"`
	FinishClaim      *FinishClaim      `cbor:"12,keyasint,omitempty"`
	ReleaseClaim     *ReleaseClaim     `cbor:"13,keyasint,omitempty"`
	ReportCrash      *ReportCrash      `cbor:"14,keyasint,omitempty"`
}

// ApplyConfig replaces the configuration if BaseVersion is the current version. The first configuration has base 0.
type ApplyConfig struct {
	BaseVersion uint64 `cbor:"1,keyasint"`
	// ChangeID is chosen by the operator's client; a resend with the same id gets the first result.
	ChangeID string `cbor:"2,keyasint"`
	// JSON is the canonical encoding of a dynconfig.Config.
	JSON []byte `cbor:"3,keyasint"`
}

// OpenSession opens a session for a gateway. It does not end older sessions of the same gateway: those expire.
type OpenSession struct {
	Gateway       string `cbor:"1,keyasint"`
	Zone          string `cbor:"2,keyasint"`
	CallerAddress string `cbor:"3,keyasint"`
	PeerAddress   string `cbor:"4,keyasint"`
	// OpenID is random; a resend with the same id gets the same session.
	OpenID string `cbor:"5,keyasint"`
}

// LeaveSession marks a session as leaving: it gets no new upstreams, and address answers drop it.
type LeaveSession struct {
	SessionID uint64 `cbor:"1,keyasint"`
}

// ExpireSession ends a session whose lease ran out, or that left and owns nothing.
type ExpireSession struct {
	SessionID uint64 `cbor:"1,keyasint"`
}

// RegisterUpstream adds an upstream, or records its new boot id.
type RegisterUpstream struct {
	ID             string `cbor:"1,keyasint"`
	Service        string `cbor:"2,keyasint"`
	Address        string `cbor:"3,keyasint"`
	Zone           string `cbor:"4,keyasint"`
	BootID         string `cbor:"5,keyasint"`
	Slots          int    `cbor:"6,keyasint"`
	MaxConnections int    `cbor:"7,keyasint"`
}

// RemoveUpstream removes an upstream that stopped announcing itself. Only its owner may, and only for the boot id it saw.
type RemoveUpstream struct {
	ID        string `cbor:"1,keyasint"`
	BootID    string `cbor:"2,keyasint"`
	SessionID uint64 `cbor:"3,keyasint"`
}

// Assign makes a session the owner of an upstream that has no owner, or asks the present owner to hand it over. Epoch is
// the upstream's epoch as the proposer saw it.
type Assign struct {
	UpstreamID string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	SessionID  uint64 `cbor:"3,keyasint"`
}

// Release gives up an upstream: the owner sends it no more work.
type Release struct {
	UpstreamID string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	SessionID  uint64 `cbor:"3,keyasint"`
	// Remaining is how many requests of the releasing owner still run there.
	Remaining int `cbor:"4,keyasint,omitempty"`
}

// ClaimKey identifies a request that must not run twice.
type ClaimKey struct {
	Service string `cbor:"1,keyasint"`
	Tenant  string `cbor:"2,keyasint"`
	Key     string `cbor:"3,keyasint"`
}

// BeginClaim claims the right to run a request once.
type BeginClaim struct {
	Key        ClaimKey `cbor:"1,keyasint"`
	SessionID  uint64   `cbor:"2,keyasint"`
	UpstreamID string   `cbor:"3,keyasint"`
	Epoch      uint64   `cbor:"4,keyasint"`
	// RequestDigest covers method, path and body.
	RequestDigest []byte `cbor:"5,keyasint"`
	// KeyUnixMilli is the key's creation time, or 0 for a key without one.
	KeyUnixMilli int64 `cbor:"6,keyasint,omitempty"`
	// HorizonMillis is how long the claim is kept, in ms.
	HorizonMillis int64 `cbor:"7,keyasint"`
	// Attempt is random for each call of Begin; a resend of the same command gets the first result.
	Attempt string `cbor:"8,keyasint"`
}

// Answer is the recorded answer of a claimed request.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// TooLarge is true where the answer exceeded the limit and only Status was recorded.
	TooLarge bool `cbor:"4,keyasint,omitempty"`
}

// FinishClaim records the answer, or, without one, that the outcome is not known.
type FinishClaim struct {
	Key     ClaimKey `cbor:"1,keyasint"`
	ClaimID uint64   `cbor:"2,keyasint"`
	Answer  *Answer  `cbor:"3,keyasint,omitempty"`
}

// ReleaseClaim gives a claim up. It is allowed only where no byte of the request was sent, or where the upstream stated
// that it did not start it.
type ReleaseClaim struct {
	Key     ClaimKey `cbor:"1,keyasint"`
	ClaimID uint64   `cbor:"2,keyasint"`
}

// ReportCrash reports that an upstream was lost while a request with this fingerprint ran on it.
type ReportCrash struct {
	Service     string `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
	UpstreamID  string `cbor:"3,keyasint"`
	BootID      string `cbor:"4,keyasint"`
}
