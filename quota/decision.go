package quota

import "time"

// Outcome is what a gateway does with a request.
type Outcome uint8

const (
	// Admitted requests may be sent.
	Admitted Outcome = iota
	// Refused requests are over the limit.
	Refused
	// Waiting requests are decided by Gateway.Decide after the next grant. The caller must call it, or Gateway.Leave.
	Waiting
)

// NoGrant is the Age of a decision about an account for which there was no grant.
const NoGrant = -time.Millisecond

// Decision is the answer to a request.
type Decision struct {
	Outcome Outcome
	// Token is set if the request was admitted with a token of the owner, otherwise with the gateway's own share.
	Token bool
	// UseBy is until when an admitted request must have been sent. Expires is when a token that was given back ends.
	UseBy, Expires time.Duration
	// RetryAfter is when a token will be available for a refused caller.
	RetryAfter time.Duration
	// Age is the age of what the decision is based on: the last grant for the account, or NoGrant.
	Age time.Duration
	// Alone is set if no owner responds.
	Alone bool
}
