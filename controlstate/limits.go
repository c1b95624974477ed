package controlstate

import (
	"time"

	"github.com/bramleypick/bramleypick/dynconfig"
)

// Limits of commands.
const (
	// MaxCommandBytes limits the size of an encoded command. It fits the largest configuration and its envelope.
	MaxCommandBytes = dynconfig.MaxConfigBytes + 64<<10
	// MaxResponseBodyBytes limits the body of a recorded response.
	MaxResponseBodyBytes = 64 << 10
	// MaxResponseHeaderBytes limits the total size of the header names and values of a recorded response.
	MaxResponseHeaderBytes = 16 << 10
	// MaxResponseHeaderValues limits the number of header names, and of header values, of a recorded response.
	MaxResponseHeaderValues = 256

	maxIDBytes      = 128 // Ids chosen by other processes: gateways, boots, attempts, changes.
	maxKeyBytes     = 256 // Idempotency keys.
	maxDigestBytes  = 64
	maxAddressBytes = 128
	maxMessageBytes = 1024 // Messages of rejections, except the errors of a configuration.
	maxSlots        = 10_000
	maxConnections  = 100_000
	maxRemaining    = 1_000_000
	// maxReleasedBy limits UpstreamInfo.ReleasedBy. An upstream changes owner a few times at most while one request runs.
	maxReleasedBy = 16
	// maxUnixMilli is the end of the year 9999. It prevents overflow when durations are added to times.
	maxUnixMilli = 253_402_300_799_999
)

// Limits of tables. They limit the memory that misbehaving clients can use.
const (
	// DefaultMaxClaims is the default limit on the claims of a Machine.
	DefaultMaxClaims = 1_000_000
	// DefaultMaxResponseBytes is the default limit on the total size of the recorded responses of a Machine, in bytes.
	// Without it, a million claims could record 64 GB.
	DefaultMaxResponseBytes = 512 << 20

	maxSessions        = 10_000
	maxExpiredSessions = 10_000
	maxFingerprints    = 4096
	// maxRetainedLosses limits the losses recorded for each fingerprint.
	maxRetainedLosses = 16
	// minRetainedChanges is the number of changes whose results are kept regardless of their age.
	minRetainedChanges = 10_000
	// maxRetainedChanges limits the results of changes that are kept. It is ten times the changes of a day at the target scale
	// (24,000). Further changes are rejected, because dropping a result early would let a retried change apply twice.
	maxRetainedChanges = 240_000
)

// Durations in ms.
const (
	// ClockToleranceMillis is the largest tolerated difference between the clocks of clients and leaders.
	ClockToleranceMillis = int64(5 * time.Minute / time.Millisecond)

	changeRetentionMillis = int64(24 * time.Hour / time.Millisecond)
	openRetentionMillis   = int64(time.Hour / time.Millisecond)
	// blockMillis is how long gateways reject requests with a blocked fingerprint.
	blockMillis = int64(10 * time.Minute / time.Millisecond)
	// lossRetentionMillis is how long the losses of a fingerprint are kept after the last one.
	lossRetentionMillis = int64(time.Hour / time.Millisecond)
)

// lossesToBlock is the number of distinct losses from which a fingerprint is blocked. A single loss may be a coincidence.
const lossesToBlock = 2

func lengthWithin(s string, low, high int) bool {
	return len(s) >= low && len(s) <= high
}
