package controlstate

import "github.com/pkg/errors"

// Kind is the kind of a Command.
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
	KindEditStop
)

// Command is one change of the replicated state. Of the pointers, exactly the one that Kind names is set.
type Command struct {
	// AtUnixMilli is the time at which the leader proposed the command, by its wall clock, in ms since the Unix epoch.
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
	EditStop         *EditStop         `cbor:"15,keyasint,omitempty"`
}

// check returns an error unless exactly the field that Kind names is set and the time is within its limits.
func (c *Command) check() error {
	set := []bool{
		c.ApplyConfig != nil, c.OpenSession != nil, c.LeaveSession != nil, c.ExpireSession != nil,
		c.RegisterUpstream != nil, c.RemoveUpstream != nil, c.Assign != nil, c.Release != nil,
		c.BeginClaim != nil, c.FinishClaim != nil, c.ReleaseClaim != nil, c.ReportCrash != nil, c.EditStop != nil,
	}
	if c.Kind < KindApplyConfig || int(c.Kind) > len(set) {
		return errors.Errorf("the command has the unknown kind %d", c.Kind)
	}
	for i, isSet := range set {
		if isSet != (i == int(c.Kind-KindApplyConfig)) {
			return errors.Errorf("the fields of the command do not match its kind %d", c.Kind)
		}
	}
	if c.AtUnixMilli < 0 || c.AtUnixMilli > maxUnixMilli {
		return errors.Errorf("the command has the time %d, outside 0 to %d", c.AtUnixMilli, int64(maxUnixMilli))
	}
	return nil
}
