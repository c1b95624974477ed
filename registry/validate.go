package registry

import (
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
)

const (
	// maxNameBytes limits each text of an entry.
	maxNameBytes = 256
	// maxSlots limits the requests that an upstream may claim to run concurrently.
	maxSlots = 1 << 16
	// maxIncarnation is the largest integer that every JSON implementation represents exactly.
	maxIncarnation = 1 << 53
	// maxWarmup limits the remaining warm-up time.
	maxWarmup = time.Hour
)

// Validate returns an error if the entry cannot come from an upstream that works. Such an entry must not be merged: it could
// keep other processes from decoding the entries that are sent along with it, or replace those of other upstreams.
func (e *Entry) Validate() error {
	for _, text := range [...]string{e.ID, e.Service, e.Zone, e.Version} {
		if !isName(text) {
			return errors.Errorf("text %q is longer than %d bytes, is not valid UTF-8, or has control characters", text[:min(len(text), maxNameBytes)], maxNameBytes)
		}
	}
	switch {
	case e.ID == "":
		return errors.New("id: is missing")
	case e.State < Ready || e.State > Gone:
		return errors.Errorf("state: %d is not known", e.State)
	case e.Incarnation < 0 || e.Incarnation > maxIncarnation:
		return errors.Errorf("start time: %d is out of range", e.Incarnation)
	case e.Slots < 0 || e.Slots > maxSlots:
		return errors.Errorf("slots: %d is out of range", e.Slots)
	case e.WarmupLeft < 0 || e.WarmupLeft > maxWarmup:
		return errors.Errorf("warm-up: %v is out of range", e.WarmupLeft)
	case e.Address == "":
		return nil // a deregistration may have only the id
	}
	_, err := netip.ParseAddrPort(e.Address)
	return errors.Wrap(err, "address")
}

func isName(text string) bool {
	if len(text) > maxNameBytes || !utf8.ValidString(text) {
		return false
	}
	for _, r := range text {
		if unicode.IsControl(r) {
			return false
		}
	}
	return true
}
