package edge

import (
	"net/http"
	"time"

	"github.com/bramleypick/bramleypick/balancing"
)

// Protocol is what clients and upstreams speak beyond HTTP: names of header fields and how their values are read.
type Protocol struct {
	// RequestIDHeader carries the id of one try of a client, which upstreams echo.
	RequestIDHeader string
	// DeadlineHeader carries the time that is left for the request, in ms.
	DeadlineHeader string
	// TargetHeader names the upstream that a request is meant for; any other one refuses it.
	TargetHeader string
	// NotRunHeader marks a response to a request that the upstream did not run.
	NotRunHeader string
	// UpstreamHeader carries the id of the upstream in health responses.
	UpstreamHeader string
	// Load reads the load that a response reports.
	Load func(http.Header) (balancing.Load, bool)
	// WarmupLeft reads how long the upstream stays cold from a health response.
	WarmupLeft func(http.Header) time.Duration
}
