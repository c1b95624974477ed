package registry

import "time"

// Entry describes one upstream.
type Entry struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint,omitempty"`
	// Address is IP:port.
	Address string `cbor:"3,keyasint,omitempty"`
	Zone    string `cbor:"4,keyasint,omitempty"`
	// Version is the version of the upstream's software.
	Version string `cbor:"5,keyasint,omitempty"`
	// Slots is the number of requests that it runs concurrently. Zero means unknown.
	Slots int   `cbor:"6,keyasint,omitempty"`
	State State `cbor:"7,keyasint"`
	// Incarnation is the start time of the upstream's process in ms since the Unix epoch. Zero means unknown.
	Incarnation int64 `cbor:"8,keyasint,omitempty"`
	// Seq increases with each announcement of one incarnation.
	Seq uint64 `cbor:"9,keyasint,omitempty"`
	// WarmupLeft is the remaining warm-up time of the upstream when the entry was received.
	WarmupLeft time.Duration `cbor:"10,keyasint,omitempty"`
	// Observed is set if a process found WarmupLeft in a response. It then applies whatever Seq is, because the sequence numbers of
	// announcements that change nothing are not propagated.
	Observed bool `cbor:"11,keyasint,omitempty"`
}

// supersedes reports whether e is newer than old, an entry with the same id. The state never moves backwards within one
// incarnation, so a delayed announcement cannot undo a drain.
func (e *Entry) supersedes(old *Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	if e.State != old.State {
		return e.State > old.State
	}
	return e.Seq > old.Seq
}

// isAnonymousDeregistration reports whether e is a deregistration that does not say which process of the upstream has ended. It
// applies to the one that is known.
func (e *Entry) isAnonymousDeregistration() bool {
	return e.State == Gone && e.Incarnation == 0 && e.Address == ""
}

// differsMaterially reports whether e, which supersedes old, differs from it in a field that must be propagated. These are all
// fields except the sequence number and the warm-up time.
func (e *Entry) differsMaterially(old *Entry) bool {
	return e.Incarnation != old.Incarnation || e.State != old.State || e.Address != old.Address || e.Service != old.Service ||
		e.Slots != old.Slots || e.Zone != old.Zone || e.Version != old.Version
}
