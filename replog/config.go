package replog

import "fmt"

// DefaultMaxMessageBytes is the limit for the entries in one message when Config.MaxMessageBytes is zero.
const DefaultMaxMessageBytes = 1 << 20

// Config configures a replica. All replicas of a group use the same values except for ID and Rand.
type Config struct {
	// ID identifies the replica. It must not be zero.
	ID NodeID
	// ElectionTicks is the number of ticks without a leader after which a follower may start an election, and the
	// number of ticks without responses from a majority after which a leader steps down. It must be greater than
	// HeartbeatTicks; ten times HeartbeatTicks is usual.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats in ticks. It must be at least 1.
	HeartbeatTicks int
	// Rand returns a number in [0, n). It spreads election timeouts over ElectionTicks to 2*ElectionTicks-1.
	Rand func(n int) int
	// Bootstrap is the membership before the first entry. It must be the same at every start of the initial replicas,
	// and empty on replicas that join later.
	Bootstrap Membership
	// MaxMessageBytes limits the data of a proposal and of the entries in one message. A message may always carry one
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
		return fmt.Errorf("%w: ElectionTicks is %d, must be greater than HeartbeatTicks (%d)", ErrInvalidConfig,
			c.ElectionTicks, c.HeartbeatTicks)
	case c.Rand == nil:
		return fmt.Errorf("%w: Rand is nil", ErrInvalidConfig)
	case c.MaxMessageBytes < 0:
		return fmt.Errorf("%w: MaxMessageBytes is %d, must not be negative", ErrInvalidConfig, c.MaxMessageBytes)
	}
	if len(c.Bootstrap.Voters)+len(c.Bootstrap.Learners) == 0 {
		return nil
	}
	if err := c.Bootstrap.validate(); err != nil {
		return fmt.Errorf("%w: Bootstrap: %w", ErrInvalidConfig, err)
	}
	return nil
}
