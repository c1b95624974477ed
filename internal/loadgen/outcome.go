package loadgen

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/upstreamconn"
	"github.com/bramleypick/bramleypick/resultcode"
)

// Outcome is the result of a request as far as the client can tell.
type Outcome string

// Outcomes. Every sent request has exactly one.
const (
	OutcomeOK      Outcome = "ok"      // A complete 2xx response to this request.
	OutcomeNotRun  Outcome = "not_run" // Certainly not run: refused with a code that says so, or never sent.
	OutcomeUnknown Outcome = "unknown" // Any other failure response; the request may have run.
	OutcomeBroken  Outcome = "broken"  // The response was incomplete, malformed, or to another request.
	OutcomeLost    Outcome = "lost"    // No response arrived; the request may have run.
)

// outcomes lists the outcomes in the order of table columns.
var outcomes = []Outcome{OutcomeOK, OutcomeNotRun, OutcomeUnknown, OutcomeBroken, OutcomeLost}

// attemptResult is the outcome of one attempt and its result code.
type attemptResult struct {
	outcome Outcome
	// code is, for example, "1009 shed_by_priority" for a response of the gateway itself, "http 503" for a response of an
	// upstream, and "timeout" if there is no response.
	code string
}

// refusalBody is the part of the body of a gateway's own response that classifyResponse needs.
type refusalBody struct {
	NotRun bool `json:"not_run"`
}

// classifyResponse returns the outcome of a complete response. prefix is the beginning of its body. wantLine is the
// expected first line, or empty to skip that check.
func classifyResponse(resp *http.Response, prefix []byte, wantLine string) attemptResult {
	if text := resp.Header.Get("Bramleypick-Code"); text != "" && text != "0" {
		var body refusalBody
		notRun := json.Unmarshal(prefix, &body) == nil && body.NotRun
		code := text
		if n, err := strconv.ParseUint(text, 10, 16); err == nil {
			info, _ := resultcode.Code(n).Info()
			notRun = notRun || info.NotRun
			code = fmt.Sprintf("%d %s", n, resultcode.Code(n))
		}
		if notRun {
			return attemptResult{OutcomeNotRun, code}
		}
		return attemptResult{OutcomeUnknown, code}
	}
	code := fmt.Sprintf("http %d", resp.StatusCode)
	switch {
	case resp.StatusCode/100 == 2:
		if wantLine != "" && (len(prefix) < len(wantLine) || string(prefix[:len(wantLine)]) != wantLine) {
			return attemptResult{OutcomeBroken, "wrong body"}
		}
		return attemptResult{OutcomeOK, code}
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Bramleypick-Not-Run") == "1":
		return attemptResult{OutcomeNotRun, code + " not run"}
	}
	return attemptResult{OutcomeUnknown, code}
}

// classifyError returns the outcome of an exchange without a complete response. written is the number of request bytes sent,
// and responded is true if the header of a response arrived.
func classifyError(err error, written int64, responded bool) attemptResult {
	switch {
	case written == 0:
		return attemptResult{OutcomeNotRun, "not sent"}
	case responded, errors.Is(err, upstreamconn.ErrMalformedResponse), errors.Is(err, upstreamconn.ErrMismatchedResponse):
		return attemptResult{OutcomeBroken, errorName(err)}
	}
	return attemptResult{OutcomeLost, errorName(err)}
}

// errorName returns the name of an exchange error in attemptResult.code.
func errorName(err error) string {
	for _, kind := range []struct {
		err  error
		name string
	}{
		{upstreamconn.ErrUnresponsive, "silent connection"}, {upstreamconn.ErrTimeout, "timeout"},
		{upstreamconn.ErrCanceled, "cancelled"}, {upstreamconn.ErrMismatchedResponse, "mismatched"},
		{upstreamconn.ErrMalformedResponse, "malformed"}, {upstreamconn.ErrConnLost, "cut"},
	} {
		if errors.Is(err, kind.err) {
			return kind.name
		}
	}
	return "other"
}
