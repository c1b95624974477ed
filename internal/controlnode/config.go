package controlnode

import (
	"math/rand/v2"
	"time"

	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/vfs"
	"github.com/bramleypick/bramleypick/wal"
)

// Defaults of Config. With them, a leader sends 5 heartbeats per second to each replica, and a new leader is elected 0.6
// to 1.15 s after the loss of the old one.
const (
	DefaultTickInterval    = 50 * time.Millisecond
	DefaultElectionTicks   = 12
	DefaultHeartbeatTicks  = 4
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 16 << 20
	DefaultDemoteAfter     = 10 * time.Second
)

// minVoters is the number of voters below which no voter is demoted automatically: two voters can't lose one.
const minVoters = 3

// Config configures a Node. Zero values mean the defaults.
type Config struct {
	// ID identifies the replica and is not zero. A replica whose data directory was lost must get a new one.
	ID replog.NodeID
	// Dir is the data directory, used by this Node only.
	Dir string
	// FS is the file system of Dir; default the operating system's.
	FS vfs.FS
	// WAL configures the log in Dir.
	WAL wal.Options
	// Bootstrap is the membership of a new group. It is used only if it contains ID and the data directory is empty;
	// then it is persisted as the group's first snapshot. A replica that joins later starts without membership, as a
	// follower that neither votes nor starts elections until the leader sends a snapshot or log. An id whose directory
	// was lost must not start with a Bootstrap that contains it, because it would vote again.
	Bootstrap replog.Membership
	// DesiredVoters are the replicas that the leader promotes when they are learners and have caught up; default the
	// voters of Bootstrap. See Node.SetDesiredVoters.
	DesiredVoters []replog.NodeID
	// TickInterval is the unit of ElectionTicks and HeartbeatTicks; default DefaultTickInterval.
	TickInterval time.Duration
	// ElectionTicks is the shortest election timeout in ticks; default DefaultElectionTicks.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats in ticks; default DefaultHeartbeatTicks.
	HeartbeatTicks int
	// Rand returns a number in [0, n) to spread election timeouts; default math/rand/v2. Called by one goroutine.
	Rand func(n int) int
	// MaxMessageBytes limits a proposal and the entries in a message; default replog.DefaultMaxMessageBytes.
	MaxMessageBytes int
	// SnapshotEntries and SnapshotBytes are the applied entries, and their bytes, after which a snapshot is taken;
	// defaults DefaultSnapshotEntries and DefaultSnapshotBytes.
	SnapshotEntries int
	SnapshotBytes   int
	// DemoteAfter is the time without a response after which the leader makes a voter a learner, as long as a majority
	// is reachable and three voters remain; default DefaultDemoteAfter. Negative: never.
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

// demoteTicks is DemoteAfter in ticks, 0 for never.
func (c Config) demoteTicks() int {
	if c.DemoteAfter < 0 {
		return 0
	}
	return max(1, int(c.DemoteAfter/c.TickInterval))
}
