package controlnode

import (
	"errors"
	"fmt"

	"github.com/bramleypick/bramleypick/replog"
)

// Errors returned by a Node.
var (
	// ErrNotLeader reports that a call had no effect: the command was not appended, or leadership could not be confirmed
	// for a read. The error may also wrap the cause, such as ErrStopped or a context's error.
	ErrNotLeader = replog.ErrNotLeader
	// ErrOutcomeUnknown reports that a command was appended and may or may not be applied.
	ErrOutcomeUnknown = errors.New("controlnode: outcome unknown")
	// ErrStopped reports that the Node was stopped or has failed.
	ErrStopped = errors.New("controlnode: node stopped")
)

// notAppended returns ErrNotLeader wrapping the reason why a command was not appended.
func notAppended(cause error) error {
	if errors.Is(cause, ErrNotLeader) {
		return cause
	}
	return fmt.Errorf("%w: command not appended: %w", ErrNotLeader, cause)
}
