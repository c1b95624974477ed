package cluster

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/crashguard"
	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/overload"
	"github.com/bramleypick/bramleypick/quota"
	"github.com/bramleypick/bramleypick/rollout"
	"github.com/bramleypick/bramleypick/roster"
	"github.com/bramleypick/bramleypick/vfs"
)

// Config configures a Cluster.
type Config struct {
	// Self describes this process. State, Seq and ReplicaID are set by the Cluster.
	Self roster.Node
	// Seeds returns the peer addresses used for discovery. It is called repeatedly, because the settings may change.
	Seeds func() []string
	// DataDir is the data directory of the control replica. If it is empty, the process runs no replica.
	DataDir string
	// FS is the file system of DataDir. Nil means that of the operating system.
	FS vfs.FS
	// AllowBootstrap permits this process to create the control group, at the first start of the whole deployment.
	AllowBootstrap bool
	// MaxUpstreams limits the upstreams that are kept. Zero means no limit.
	MaxUpstreams int
	// UpstreamExpiry is how long the entry of an upstream is kept without a new announcement. Zero means forever.
	UpstreamExpiry time.Duration
	// OnFailures is called with the numbers of failed requests by upstream id that other processes reported. It must
	// not block.
	OnFailures func(map[string]int)
	// OnLimits is called with the request limits of upstreams that other processes reported; a negative limit has ended.
	// It must not block.
	OnLimits func(map[string]float64)
	// OnOverload is called with sums of the overload reports of processes, including this one, by service. It must not block, nor
	// call the Cluster. Nil means that nothing is called.
	OnOverload func(map[string]overload.Report)
	// CrashRecords returns the crash records of this process, by fingerprint. They are sent to each process that connects, since
	// losses are otherwise shared only once, when they happen. Nil means that there are none.
	CrashRecords func() map[string]crashguard.Record
	// OnCrashRecords is called with the crash records of a replica after a link to it has opened. Several replicas may report the
	// same losses. Nil means that nothing is called.
	OnCrashRecords func(map[string]crashguard.Record)
	// QuotaBound is what operators accept beyond the limits of accounts over all gateways.
	QuotaBound quota.Bound
	// OnGrant is called with the replies to RequestTokens. It must not block. Nil means that nothing is called.
	OnGrant func(quota.Grant)
	// Rollouts configures the decisions about rollouts. Nil means that no rollouts are run.
	Rollouts *rollout.Config
	// LinkLimits limit what the links that other processes opened take.
	LinkLimits nodelink.Limits
	Log        *zap.Logger
}
