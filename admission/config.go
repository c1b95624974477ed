// Package admission schedules the requests of one service in one gateway onto the upstreams that the gateway owns.
//
// It guarantees that an upstream never holds more requests than its limit: the slots it announced, less what requests of
// earlier owners may still occupy, and no more than its cold-start ramp permits. Upstreams that are stopping or moving get
// nothing new. The scheduler is pure: it has no clock, goroutine or I/O, and the caller passes the time in. It is not safe
// for concurrent use.
package admission

import "time"

// Policy names an upstream selection policy.
type Policy uint8

// Selection policies.
const (
	// PolicyOwner queues requests and dispatches within the limits of the owned upstreams.
	PolicyOwner Policy = iota
	// PolicyRandom is a baseline for measurements: any upstream at random, without a limit or a queue.
	PolicyRandom
	// PolicyTwoChoices is a baseline for measurements: the less loaded of two random upstreams by own in-flight counts.
	PolicyTwoChoices
)

// Config holds the settings of one service.
type Config struct {
	Policy Policy
	// QueueLimit bounds the waiting requests. At least 1 is used.
	QueueLimit int
	// TenantLimit bounds the waiting requests of one tenant. Zero means no limit of its own.
	TenantLimit int
	// OverAllowance is how many requests beyond its slots a warm upstream may hold while all are busy.
	OverAllowance int
	// ColdSlots is how many requests an upstream in cold start may hold. At least 1 is used.
	ColdSlots int
	// ProbesPerSecond and ProbeBytesPerSecond are the measurement budget of each upstream. Zero means no probes.
	ProbesPerSecond     float64
	ProbeBytesPerSecond int
	// ForeignTimeout is how long after a new ownership requests of former owners can still run, because their deadlines
	// have passed by then. Zero means that only load reports show their end.
	ForeignTimeout time.Duration
	// Weights are the shares of tenants; a tenant that is missing has weight 1.
	Weights map[string]int
	// Rand returns a random number in [0, n). Required by the baseline policies only.
	Rand func(n int) int
}

const (
	// rampCompletions is how many requests an upstream must complete for each permitted slot before its limit rises by one.
	rampCompletions = 4
	// coldFailures and coldSlowResponses are how many failures or slow responses in a row look like a cold start. One
	// slow response in a row of fast ones is an ordinary straggler.
	coldFailures      = 3
	coldSlowResponses = 3
	// coldSlowness is the latency, relative to the usual one of the class, from which a response counts as slow.
	coldSlowness = 4.0

	// stopMemory is how long after a planned stop an upstream counts as emptied when its owner changes. It covers the
	// hand-overs that follow the return of a zone.
	stopMemory = 30 * time.Second

	// ejectFailures is how many failures in a row eject an upstream.
	ejectFailures = 5
	// ejectFailRate is the smoothed share of failures that ejects an upstream after ejectMinSamples results.
	ejectFailRate   = 0.6
	ejectMinSamples = 10
	ejectBase       = time.Second
	ejectMax        = time.Minute
	// ejectShare is the divisor of the upstreams that may be ejected at a time: at most a third.
	ejectShare = 3

	// upstreamWeight is the weight of a new sample in the estimates of one upstream, classWeight in those of a class. The
	// class changes slowly, so that it remains a yardstick when many upstreams become slow at once.
	upstreamWeight = 0.2
	classWeight    = 1.0 / 64
	// maxSlowness bounds the influence of one sample.
	maxSlowness = 50.0
	// minSuccess bounds the cost of an upstream that always fails.
	minSuccess = 0.05
	// forgetHalfLife is how fast an old estimate approaches that of an average upstream, so that a former straggler is
	// tried again.
	forgetHalfLife = 10 * time.Second

	// MaxProbeBytes is what a probe is charged until its real size is known.
	MaxProbeBytes = 512
	// quietTime is how long dispatches to an upstream pause at most so that a probe can tell the requests of earlier
	// owners from this gateway's own.
	quietTime = 250 * time.Millisecond
)
