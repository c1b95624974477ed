package replog

import "fmt"

// DefaultMaxMessageBytes limits the entries of one message when Config.MaxMessageBytes is zero.
const DefaultMaxMessageBytes = 1 << 20

// Config configures a replica. All replicas of a group use the same values except for ID and Rand.
type Config struct {
	// ID identifies the replica; not zero.
	ID NodeID
	// ElectionTicks is the time without a leader, in ticks, after which a follower may start an election, and the time
	// without contact to a majority after which a leader steps down. More than HeartbeatTicks; ten times is usual.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats in ticks; at least 1.
	HeartbeatTicks int
	// Rand returns a number in [0, n). It spreads election timeouts over ElectionTicks to 2*ElectionTicks-1.
	Rand func(n int) int
	// Bootstrap is the membership before the first entry. It is the same at every start of the initial replicas, and
	// empty on replicas that join later.
	Bootstrap Membership
	// MaxMessageBytes limits the data of a proposal and of the entries in one message. A message carries at least one
	// entry, and a snapshot is always sent in one message. Zero means DefaultMaxMessageBytes.
	MaxMessageBytes int
}

func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return fmt.Errorf("%w: ID is zero", ErrInvalidConfig)
	case c.HeartbeatTicks < 1:
		return fmt.Errorf("%w: HeartbeatTicks is %d, must be at least 1", ErrInvalidConfig, c.HeartbeatTicks)
	case c.ElectionTicks <= c.HeartbeatTicks:
		return fmt.Errorf("%w: ElectionTicks is %d, must be more than HeartbeatTicks", ErrInvalidConfig, c.ElectionTicks)
	case c.Rand == nil:
		return fmt.Errorf("%w: Rand is nil", ErrInvalidConfig)
	case c.MaxMessageBytes < 0:
		return fmt.Errorf("%w: MaxMessageBytes is negative", ErrInvalidConfig)
	}
	if len(c.Bootstrap.Voters)+len(c.Bootstrap.Learners) == 0 {
		return nil
	}
	if err := c.Bootstrap.validate(); err != nil {
		return fmt.Errorf("%w: Bootstrap: %w", ErrInvalidConfig, err)
	}
	return nil
}
