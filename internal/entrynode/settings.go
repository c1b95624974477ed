package entrynode

import "time"

// Settings are the static settings of the process.
type Settings struct {
	Name, Zone, Region string
	// IP is the VM's address.
	IP string
	// EntryAddress (TCP, IP:port) serves clients.
	EntryAddress string
	// ReadyAddress serves the question whether the process is ready.
	ReadyAddress string
	// ControlAddress serves upstreams and operators.
	ControlAddress string
	// DirectoryAddress answers clients that ask where to connect.
	DirectoryAddress string
	// MetricsAddress (TCP, IP:port) serves GET /metrics.
	MetricsAddress string
	// PeerAddress serves other processes of the system.
	PeerAddress string
	// SeedPeers are peer addresses of processes that know others.
	SeedPeers []string
	// DataDir is the folder of durable state; empty on a VM without a disk.
	DataDir string
	// FirstStart is true only when the whole deployment starts for the first time.
	FirstStart bool
	// MaxAddressTTL bounds the time for which clients keep an answer of the directory.
	MaxAddressTTL time.Duration
	// ShutdownGrace is the time from SIGTERM until the process is killed.
	ShutdownGrace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the extra tries for a service over all gateways.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// LinkBitsPerSecond is the speed of the VM's link; zero means unknown.
	LinkBitsPerSecond float64
	// ColdFactor and ColdSlack bound the requests to a cold upstream in a second over all gateways.
	ColdFactor, ColdSlack float64
}
