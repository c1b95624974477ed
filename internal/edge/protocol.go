package edge

import (
	"net/http"
	"time"

	"github.com/bramleypick/bramleypick/balancing"
)

// Protocol defines the names of the header fields that clients and upstreams use, and how to decode some of them.
type Protocol struct {
	// RequestIDHeader carries the id of a request. Clients use a new id for each of their attempts; all attempts of the
	// gateway for one request carry the id that the client sent. Upstreams echo it.
	RequestIDHeader string
	// DeadlineHeader carries the remaining time for the request in ms.
	DeadlineHeader string
	// TargetHeader carries the id of the upstream that a request is intended for. Any other upstream refuses it.
	TargetHeader string
	// NotRunHeader marks a response to a request that the upstream did not run.
	NotRunHeader string
	// UpstreamHeader carries the id of the upstream in health responses.
	UpstreamHeader string
	// KeyHeader carries the key of a client account. It is not forwarded.
	KeyHeader string
	// AccountHeader carries the name of the client account in requests to upstreams.
	AccountHeader string
	// Key decodes the key of a request. It returns false if there is none. Key, KeyHeader and AccountHeader are used only with
	// configurations that declare accounts.
	Key func(http.Header) (key string, ok bool)
	// Load decodes the load that a response reports. It returns false if the response reports none.
	Load func(http.Header) (balancing.Load, bool)
	// WarmupLeft decodes the remaining warm-up time from a health response.
	WarmupLeft func(http.Header) time.Duration
	// Leaving reports whether a response says that the upstream leaves and wants no more requests.
	Leaving func(http.Header) bool
	// Pause decodes the time for which the upstream wants no more requests from this gateway. It returns false if the response
	// names none, or if the value is malformed.
	Pause func(status int, header http.Header) (time.Duration, bool)
	// RequestLimit decodes the number of requests per second that an upstream accepts from all gateways together, or
	// balancing.NoLimit if the response names none. It returns false if the value is malformed.
	RequestLimit func(http.Header) (float64, bool)
}
