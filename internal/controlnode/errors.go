package controlnode

import (
	"errors"
	"fmt"

	"github.com/bramleypick/bramleypick/replog"
)

// Errors of a Node.
var (
	// ErrNotLeader tells that a call had no effect here: the command was not appended, or leadership for a read could
	// not be confirmed. The cause, such as ErrStopped or a context's error, may be wrapped as well.
	ErrNotLeader = replog.ErrNotLeader
	// ErrOutcomeUnknown tells that a command was appended and may or may not be applied.
	ErrOutcomeUnknown = errors.New("controlnode: outcome unknown")
	// ErrStopped tells that the Node was stopped or has failed.
	ErrStopped = errors.New("controlnode: node stopped")
)

// notAppended wraps the reason why a command was not appended.
func notAppended(cause error) error {
	if errors.Is(cause, ErrNotLeader) {
		return cause
	}
	return fmt.Errorf("%w: command not appended: %w", ErrNotLeader, cause)
}
