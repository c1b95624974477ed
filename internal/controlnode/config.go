package controlnode

import (
	"math/rand/v2"
	"time"

	"github.com/bramleypick/bramleypick/internal/bootclock"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/vfs"
	"github.com/bramleypick/bramleypick/wal"
)

// Defaults of Config. With these values, a leader sends 5 heartbeats per second to each replica, and a follower starts an
// election 0.6 to 1.15 s after the last message of a lost leader.
const (
	DefaultTickInterval    = 50 * time.Millisecond
	DefaultElectionTicks   = 12
	DefaultHeartbeatTicks  = 4
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 16 << 20
	DefaultDemoteAfter     = 10 * time.Second
)

// minVoters is the number of voters that automatic demotion leaves at least, because a group with two voters does not
// tolerate the loss of one.
const minVoters = 3

// Config configures a Node. ID and Dir are required; other zero values select the defaults.
type Config struct {
	// ID identifies the replica and must not be zero. A replica whose data directory was lost must be given a new id.
	ID replog.NodeID
	// Dir is the data directory, which only this Node may use.
	Dir string
	// FS is the file system of Dir; the default is that of the operating system.
	FS vfs.FS
	// WAL configures the log in Dir.
	WAL wal.Options
	// Bootstrap is the initial membership of a new group. It is used only if it contains ID and the data directory is
	// empty, and is then persisted as the group's first snapshot. A replica that joins later starts without membership, as
	// a follower that neither votes nor starts elections until the leader has sent it a membership in which it is a learner.
	// A replica whose directory was lost must not start with a Bootstrap that contains its id, because it could vote twice
	// in a term.
	Bootstrap replog.Membership
	// DesiredVoters are the replicas that the leader promotes to voters once they are learners and have caught up; the
	// default is the voters of Bootstrap. See Node.SetDesiredVoters.
	DesiredVoters []replog.NodeID
	// TickInterval is the unit of ElectionTicks and HeartbeatTicks; default DefaultTickInterval.
	TickInterval time.Duration
	// ElectionTicks is the shortest election timeout in ticks; default DefaultElectionTicks.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats in ticks; default DefaultHeartbeatTicks.
	HeartbeatTicks int
	// Rand returns a random number in [0, n) that randomizes election timeouts; the default is rand.IntN of math/rand/v2.
	// Only one goroutine calls it.
	Rand func(n int) int
	// Clock returns the time since some fixed point, including the time in which the VM was suspended; the default is bootclock.Now.
	Clock func() time.Duration
	// MaxMessageBytes limits the size of a proposal and of the entries in a message; default
	// replog.DefaultMaxMessageBytes.
	MaxMessageBytes int
	// A snapshot is taken once SnapshotEntries entries or SnapshotBytes bytes of entries have been applied since the last
	// one; defaults DefaultSnapshotEntries and DefaultSnapshotBytes.
	SnapshotEntries int
	SnapshotBytes   int
	// DemoteAfter is the time without a response after which the leader demotes a voter to a learner, provided that a
	// majority is reachable and at least three voters remain; default DefaultDemoteAfter. A negative value disables
	// demotion.
	DemoteAfter time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.TickInterval, DefaultTickInterval)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.DemoteAfter, DefaultDemoteAfter)
	if c.FS == nil {
		c.FS = vfs.OS{}
	}
	if c.Clock == nil {
		c.Clock = bootclock.Now
	}
	if c.Rand == nil {
		c.Rand = rand.IntN
	}
	if c.DesiredVoters == nil {
		c.DesiredVoters = c.Bootstrap.Voters
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// demoteTicks returns DemoteAfter in ticks, or 0 if demotion is disabled.
func (c Config) demoteTicks() int {
	if c.DemoteAfter < 0 {
		return 0
	}
	return max(1, int(c.DemoteAfter/c.TickInterval))
}
