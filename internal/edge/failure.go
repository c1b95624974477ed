package edge

import (
	"net/http"
	"time"

	"github.com/bramleypick/bramleypick/resultcode"
)

// firstMayHaveRun is the start of the range of result codes after which the request may have run. Codes below it
// guarantee that no upstream started the request.
const firstMayHaveRun resultcode.Code = 2000

// failure is the reason why a request got no response from an upstream.
type failure struct {
	code    resultcode.Code
	message string
	// retry reports whether the client may retry after retryAfter.
	retry bool
	// elsewhere is set if another gateway may serve the request, so that the client may retry at once.
	elsewhere bool
	// retryAfter replaces the usual time after which the client may retry. Zero means the usual one.
	retryAfter time.Duration
	// status replaces the usual HTTP status of the code. Zero means the usual one.
	status int
}

var (
	noUpstream         = failure{code: resultcode.NoUpstream, message: "no upstream of the service can take work now", retry: true}
	allOverloaded      = failure{code: resultcode.QueueFull, message: "no upstream of the service would answer in time", retry: true}
	shedByPriority     = failure{code: resultcode.ShedByPriority, message: "the service is overloaded, and other requests come first", retry: true}
	upstreamsPaused    = failure{code: resultcode.UpstreamsPaused, message: "the upstreams of the service have asked for a pause", retry: true}
	limitReached       = failure{code: resultcode.RequestLimitReached, message: "the upstreams of the service have reached the request limits that they named", retry: true}
	overQuota          = failure{code: resultcode.QuotaExceeded, message: "the account has used its rate and burst", retry: true}
	upstreamRefused    = failure{code: resultcode.UpstreamRefused, message: "the upstream did not start the request", retry: true}
	noConfiguration    = failure{code: resultcode.ControlUnavailable, message: "no configuration is known yet", retry: true}
	configChanged      = failure{code: resultcode.ControlUnavailable, message: "the configuration changed while the request arrived", retry: true}
	unknownKey         = failure{code: resultcode.UnknownKey, message: "the request has no key of an account"}
	unknownRoute       = failure{code: resultcode.UnknownRoute, message: "no route matches the host and path"}
	bodyTooLarge       = failure{code: resultcode.RequestTooLarge, message: "the request body exceeds the limit"}
	malformedBody      = failure{code: resultcode.MalformedRequest, message: "the request body could not be read"}
	bufferFull         = failure{code: resultcode.QueueFull, message: "the gateway holds too many request bodies", retry: true}
	deadlinePassed     = failure{code: resultcode.DeadlineBeforeStart, message: "the deadline had passed on arrival"}
	shuttingDown       = failure{code: resultcode.ShuttingDown, message: "the gateway stops before the request would have to end", retry: true, elsewhere: true}
	stoppedAfterStart  = failure{code: resultcode.OutcomeUnknown, message: "the gateway stopped after the request was sent"}
	outcomeUnknown     = failure{code: resultcode.OutcomeUnknown, message: "the upstream failed after it may have started the request"}
	connectionCut      = failure{code: resultcode.UpstreamConnectionCut, message: "the connection to the upstream was lost"}
	brokenResponse     = failure{code: resultcode.BrokenResponse, message: "the upstream's answer was not complete or not valid"}
	deadlineAfterStart = failure{code: resultcode.DeadlineAfterStart, message: "the deadline passed after the request was sent"}
	// crashesUpstreams has a status that states that the request was not run. Clients take a 4xx for their own mistake.
	crashesUpstreams = failure{code: resultcode.FingerprintBlocked, message: "requests like this one crashed upstreams", status: http.StatusServiceUnavailable}
	// clientDisconnected is only logged and counted, never sent.
	clientDisconnected = failure{code: resultcode.DeadlineAfterStart, message: "the client disconnected"}
)
