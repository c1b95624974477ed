package entrynode

import (
	"time"

	"github.com/bramleypick/bramleypick/quota"
)

// Settings are the static settings of the process.
type Settings struct {
	Name, Zone, Region string
	// IP is the VM's address.
	IP string
	// EntryAddress (TCP, IP:port) serves clients.
	EntryAddress string
	// ReadyAddress serves the readiness check.
	ReadyAddress string
	// ControlAddress serves upstreams and operators.
	ControlAddress string
	// DirectoryAddress serves the addresses to which clients should connect.
	DirectoryAddress string
	// MetricsAddress (TCP, IP:port) serves GET /metrics.
	MetricsAddress string
	// PeerAddress serves links from other processes.
	PeerAddress string
	// SeedPeers are the peer addresses used for discovering other processes.
	SeedPeers []string
	// DataDir is the directory of durable state. It is empty on a VM without a disk.
	DataDir string
	// FirstStart is true only when the whole deployment starts for the first time.
	FirstStart bool
	// MaxAddressTTL bounds how long clients may cache a reply of the directory.
	MaxAddressTTL time.Duration
	// ShutdownGrace is the time from SIGTERM until the process is killed.
	ShutdownGrace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries and hedges of each service across all gateways: in any
	// period of RetryWindow, RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// MemoryBytes is the memory that the process may use; zero means unknown.
	MemoryBytes int64
	// LinkBitsPerSecond is the speed of the VM's link; zero means unknown.
	LinkBitsPerSecond float64
	// ColdFactor and ColdSlack bound the requests to a cold upstream across all gateways: in any second, the service's
	// warm-up rate times ColdFactor, plus ColdSlack.
	ColdFactor, ColdSlack float64
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of a client account across all gateways: in any period of
	// QuotaWindow, (rate times QuotaWindow plus burst) times (1 + QuotaOverage), plus QuotaSlack.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// Rollouts is set if operators move services to new versions by rollouts. Upstreams of a version that nobody ordered then get
	// no requests.
	Rollouts bool
	// ExposeShare and ExposeSlack bound the requests that a faulty new version of a service gets during a rollout: ExposeShare
	// times all requests of the service in that time, plus ExposeSlack. RollbackDelay bounds the time from the detection of a
	// faulty version to its last request.
	ExposeShare, ExposeSlack float64
	RollbackDelay            time.Duration
	// HedgeLimit is the number of hedges for each request of a service that operators accept; see edge.Config. Nil means that hedges
	// are limited only with the retries.
	HedgeLimit *float64
	// ReuseConnections is set if new connections to upstreams are the dominant cost.
	ReuseConnections bool
	// MaxFiles is the number of file descriptors that the process may use; zero means unknown.
	MaxFiles int
}

func (s *Settings) quotaBound() quota.Bound {
	return quota.Bound{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack}
}
