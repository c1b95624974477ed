package balancing

// Outcome is the result of a request to an upstream.
type Outcome uint8

const (
	// Succeeded means a complete response that is not a server error.
	Succeeded Outcome = 1
	// Failed means a server error, an invalid response, a closed connection or no response.
	Failed Outcome = 2
	// Shed means that the request was not run because the upstream, or the gateway's connection pool for it, was full.
	Shed Outcome = 3
	// AddressReassigned means that another upstream now has the address.
	AddressReassigned Outcome = 4
	// Unreachable means that no connection could be opened.
	Unreachable Outcome = 5
	// Abandoned means that the result says nothing about the upstream, for instance because this gateway cancelled the
	// request.
	Abandoned Outcome = 6
)
