package replog

import "errors"

// Errors of New and of the methods of Core. A call that returns an error has appended nothing.
var (
	// ErrNotLeader is returned by calls that only the leader accepts. Status().Leader is the leader, if known.
	ErrNotLeader = errors.New("replog: not the leader")
	// ErrTransferring is returned while a leadership transfer is in progress.
	ErrTransferring = errors.New("replog: leadership transfer in progress")
	// ErrTooLarge is returned for a proposal larger than Config.MaxMessageBytes.
	ErrTooLarge = errors.New("replog: proposal exceeds the maximum message size")
	// ErrChangePending is returned for a membership change while an earlier one is uncommitted.
	ErrChangePending = errors.New("replog: a membership change is uncommitted")
	// ErrTermNotCommitted is returned for a membership change before an entry of the leader's term is committed.
	ErrTermNotCommitted = errors.New("replog: no entry of the current term is committed")
	// ErrLearnerBehind is returned for the promotion of a learner that does not hold every committed entry.
	ErrLearnerBehind = errors.New("replog: learner has not reached the commit index")
	// ErrNoReachableMajority is returned for a membership change after which no majority of voters would be reachable.
	ErrNoReachableMajority = errors.New("replog: change would leave no reachable majority")
	// ErrInvalidChange is returned for a change that the current membership does not allow, such as promoting a voter.
	ErrInvalidChange = errors.New("replog: invalid membership change")
	// ErrInvalidTarget is returned for a leadership transfer to a replica that is not another voter.
	ErrInvalidTarget = errors.New("replog: transfer target is not another voter")
	// ErrInvalidMessage is returned by Step for a malformed message, which is dropped.
	ErrInvalidMessage = errors.New("replog: invalid message")
	// ErrInvalidConfig is returned by New for an invalid Config.
	ErrInvalidConfig = errors.New("replog: invalid configuration")
	// ErrCorrupt is returned if the durable state or a message contradicts committed entries. The process must stop.
	ErrCorrupt = errors.New("replog: log contradicts committed state")
	// ErrInvalidSnapshot is returned by Compact and SnapshotAt for an index that is not yet applied, is already
	// compacted or has no known membership, and by Compact for a snapshot that does not match the log.
	ErrInvalidSnapshot = errors.New("replog: invalid snapshot")
)
