// Package admission schedules the requests of one service in one gateway onto the upstreams that the gateway owns.
//
// An upstream receives no request beyond its limit, except under the over-allowance (Config.OverAllowance). The limit is
// the lower of its slots and its cold-start ramp, less the requests of former owners that may still be running. Upstreams
// that are stopping or moving receive no new requests. The scheduler has no clock, goroutines or I/O of its own: callers
// pass in the current time. It is not safe for concurrent use.
package admission

import "time"

// Policy is an upstream selection policy.
type Policy uint8

// Selection policies.
const (
	// PolicyOwner queues requests and dispatches them within the limits of the owned upstreams.
	PolicyOwner Policy = iota
	// PolicyRandom is a baseline for measurements. It selects a random upstream, without limits or queueing.
	PolicyRandom
	// PolicyTwoChoices is a baseline for measurements. It selects two random upstreams and takes the one with fewer
	// requests of this gateway in flight, without limits or queueing.
	PolicyTwoChoices
)

// Config holds the scheduling settings of one service.
type Config struct {
	Policy Policy
	// QueueLimit is the maximum number of queued requests; values below 1 count as 1.
	QueueLimit int
	// ClientAccountLimit is the maximum number of queued requests of one client account; zero means no limit per account.
	ClientAccountLimit int
	// OverAllowance is how many idempotent requests beyond its slots may be in flight on a warm upstream while no upstream
	// has a free slot. Zero means none.
	OverAllowance int
	// ColdSlots is the cold limit: the initial limit of an upstream in cold start. Values below 1 count as 1.
	ColdSlots int
	// ProbesPerSecond and ProbeBytesPerSecond are the probe budget of each upstream; if either is zero, nothing is probed.
	ProbesPerSecond     float64
	ProbeBytesPerSecond int
	// FormerOwnerTimeout is how long after an ownership change requests of former owners may still be running; their
	// deadlines have passed by then. Zero means that they count as running until load reports show that they have ended.
	FormerOwnerTimeout time.Duration
	// Weights holds the fair-queueing weight of each client account; accounts without an entry have weight 1.
	Weights map[string]int
	// Rand returns a random number in [0, n). Only PolicyRandom and PolicyTwoChoices need it.
	Rand func(n int) int
}

const (
	// rampCompletionsPerSlot is how many requests per slot of its current limit an upstream in cold start must complete
	// before its limit rises by one.
	rampCompletionsPerSlot = 4
	// coldStartFailures and coldStartSlowResponses are the numbers of consecutive failures and slow responses that are
	// taken for a cold start. A single slow response between fast ones is an ordinary straggler.
	coldStartFailures      = 3
	coldStartSlowResponses = 3
	// slowLatencyRatio is the ratio of a response's latency to the usual latency of its class from which the response
	// counts as slow.
	slowLatencyRatio = 4.0

	// recentStopWindow is how long after a planned stop a new owner still treats an upstream as cold. It covers the
	// ownership changes that follow the return of an availability zone.
	recentStopWindow = 30 * time.Second

	// ejectConsecutiveFailures is the number of consecutive failures that ejects an upstream.
	ejectConsecutiveFailures = 5
	// ejectFailureRate is the smoothed failure rate that ejects an upstream once it has ejectMinSamples results.
	ejectFailureRate  = 0.6
	ejectMinSamples   = 10
	ejectBaseDuration = time.Second
	ejectMaxDuration  = time.Minute
	// maxEjectedDivisor limits the ejected upstreams to one in maxEjectedDivisor of the usable ones.
	maxEjectedDivisor = 3

	// upstreamSampleWeight and classSampleWeight are the weights of a new sample in the moving averages of an upstream and
	// of a class. The class average changes slowly so that it remains a reference when many upstreams become slow at once.
	upstreamSampleWeight = 0.2
	classSampleWeight    = 1.0 / 64
	// maxLatencyRatio caps the latency ratio of one sample, which limits its influence on the average.
	maxLatencyRatio = 50.0
	// minSuccessRate is the lower bound of the success rate in the cost, which keeps the cost finite for an upstream that
	// always fails.
	minSuccessRate = 0.05
	// estimateHalfLife is the half-life with which an estimate without new samples decays to that of an average upstream,
	// so that an upstream that was slow is tried again.
	estimateHalfLife = 10 * time.Second

	// ProbeReserveBytes is the number of bytes charged for a probe until its actual size is known.
	ProbeReserveBytes = 512
	// maxDispatchPause is the longest pause of dispatches to an upstream before a probe. The pause lets the probe
	// distinguish the requests of former owners from this gateway's own.
	maxDispatchPause = 250 * time.Millisecond
)
