package admission

import "time"

// Request is a request to be assigned to an upstream.
type Request struct {
	ClientAccount string
	// Class is the name of the request class. Latencies are compared only within a class.
	Class string
	// Priority orders requests: higher values are dispatched first and displaced last.
	Priority int
	Deadline time.Time
	// Idempotent requests may use the over-allowance (Config.OverAllowance).
	Idempotent bool
	// NoQueue rejects the request with ReasonBusy if no slot is free. Hedges use it, since they must not wait.
	NoQueue bool
	// Exclude lists upstreams to which the request must not be sent, such as those of earlier attempts.
	Exclude []string
	// Value is for use by the caller; the scheduler ignores it.
	Value any

	queued  bool
	account *accountQueue
}

// Assignment permits one request on one upstream. The caller ends every assignment with Scheduler.Done.
type Assignment struct {
	UpstreamID string
	Epoch      uint64
	id         uint64
}

// Dispatch is the assignment of a request to an upstream.
type Dispatch struct {
	Request    *Request
	Assignment Assignment
}

// Reason is the reason why a request was rejected.
type Reason uint8

// Reasons of rejections.
const (
	// ReasonQueueFull: the queue is at its limit.
	ReasonQueueFull Reason = iota + 1
	// ReasonDisplaced: a request of a higher priority took its place in the queue.
	ReasonDisplaced
	// ReasonClientAccountLimit: the client account has reached its limit of queued requests.
	ReasonClientAccountLimit
	// ReasonDeadline: the deadline passed while the request was queued.
	ReasonDeadline
	// ReasonNoUpstream: no upstream can accept the request, now or once it has a free slot.
	ReasonNoUpstream
	// ReasonBusy: no slot was free for a request with NoQueue.
	ReasonBusy
)

// Rejection is the rejection of a request that was not assigned to an upstream.
type Rejection struct {
	Request *Request
	Reason  Reason
}

// Result is the result of an assignment.
type Result uint8

// Results of assignments.
const (
	// Succeeded: the upstream completed the request.
	Succeeded Result = iota + 1
	// Failed: the upstream failed or refused the request, or was lost.
	Failed
	// Neutral: the result does not indicate the health of the upstream, for example because the client disconnected or an
	// old connection did not respond.
	Neutral
	// NotSent: nothing was sent to the upstream.
	NotSent
)

// Outcome describes how an assignment ended.
type Outcome struct {
	Result Result
	// Latency is the time to the response header or, for Neutral, how long the request waited without one. It is zero if
	// unknown or already passed to Responded.
	Latency time.Duration
	Report  Report
}

// Report is the state that an upstream reports in a response or a probe.
type Report struct {
	BootID string
	// HasLoad is set if InFlight and Slots are valid.
	HasLoad  bool
	InFlight int
	Slots    int
	// HasCold is set if Cold is valid.
	HasCold bool
	Cold    bool
}
