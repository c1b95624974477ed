package standin

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Behaviour configures the service times and faults of an upstream. The zero value responds immediately and never fails.
// Every field can be set by a flag and changed at run time. Percentages range from 0 to 100 and times are in ms. Zero
// disables a behaviour unless the usage text gives it another meaning.
type Behaviour struct {
	ServiceMS     float64 `json:"service_ms" usage:"mean service time, in ms"`
	Exponential   bool    `json:"exponential" usage:"exponentially distributed service times instead of fixed ones"`
	OneWayDelayMS float64 `json:"one_way_delay_ms" usage:"delay of each request and of each response, in ms"`

	CollapseMS float64 `json:"collapse_ms" usage:"time during which all requests fail after a request exceeds the slots, in ms; 0 queues the request"`

	ColdSlots  int     `json:"cold_slots" usage:"slots at the start of a cold start; 0 for all slots"`
	ColdFactor float64 `json:"cold_factor" usage:"service time multiplier at the start of a cold start; 0 for none"`
	ColdWork   int     `json:"cold_work" usage:"completed requests that end a cold start; 0 for no cold start"`
	ColdHidden bool    `json:"cold_hidden" usage:"do not report the cold start in health responses"`

	StraggleFactor float64 `json:"straggle_factor" usage:"service time multiplier while straggling; 0 for none"`
	StraggleMS     float64 `json:"straggle_ms" usage:"mean duration of a straggling period, in ms; 0 for permanent straggling"`
	StraggleGapMS  float64 `json:"straggle_gap_ms" usage:"mean time between straggling periods, in ms; 0 for permanent straggling"`

	FailStatus       int     `json:"fail_status" usage:"fail immediately with this status, such as 500 or 503; 0 for none"`
	FailPercent      float64 `json:"fail_percent" usage:"percentage of requests that fail immediately; 0 for all while fail-status is set"`
	ShedPercent      float64 `json:"shed_percent" usage:"percentage of requests rejected as not run"`
	ShedBeyondSlots  bool    `json:"shed_beyond_slots" usage:"reject requests that exceed the slots as not run"`
	Drain            bool    `json:"drain" usage:"reject new requests as not run, complete the others, stop announcing"`
	CrashDownMS      float64 `json:"crash_down_ms" usage:"time down after a crash, in ms; 0 for 1000"`
	CutPercent       float64 `json:"cut_percent" usage:"percentage of responses that are truncated"`
	LateMS           float64 `json:"late_ms" usage:"delay between the end of the work and a late response, in ms"`
	LatePercent      float64 `json:"late_percent" usage:"percentage of late responses; 0 for all while late-ms is set"`
	WrongEchoPercent float64 `json:"wrong_echo_percent" usage:"percentage of responses with the id of another request"`
	FalseLoad        string  `json:"lie_load" usage:"load to report instead of the actual one, as inflight/slots"`
	HealthDelayMS    float64 `json:"health_delay_ms" usage:"delay of health responses, in ms"`
	HealthStatus     int     `json:"health_status" usage:"status code of health responses; 0 for 200"`

	ResponseBytes   int `json:"response_bytes" usage:"minimum length of the response body, in bytes"`
	StreamBytesPerS int `json:"stream_bytes_per_s" usage:"rate of the response body, in bytes/s; 0 for no limit"`
}

const defaultCrashDown = time.Second

// Patch returns b with the fields of a JSON object set.
func (b Behaviour) Patch(data []byte) (Behaviour, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		return b, errors.Wrap(err, "decode behaviour")
	}
	return b, b.validate()
}

func (b Behaviour) validate() error {
	for name, percent := range map[string]float64{"fail_percent": b.FailPercent, "shed_percent": b.ShedPercent,
		"cut_percent": b.CutPercent, "late_percent": b.LatePercent, "wrong_echo_percent": b.WrongEchoPercent} {
		if percent < 0 || percent > 100 {
			return errors.Errorf("%s is %v; allowed: 0 to 100", name, percent)
		}
	}
	if b.FalseLoad != "" && strings.Count(b.FalseLoad, "/") != 1 {
		return errors.Errorf("lie_load is %q; allowed: inflight/slots", b.FalseLoad)
	}
	return nil
}

func millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
