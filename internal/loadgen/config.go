// Package loadgen is an open-loop load generator. Requests are sent on a schedule that does not wait for responses, and
// latency is measured from the intended send time, so that stalls of the system under test show in the latencies (no
// coordinated omission). It behaves like the callers' clients: it resolves services at entry VMs, caches the addresses
// for their time to live, and resends requests whose outcome is unknown with the same idempotency key.
package loadgen

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Config describes one run.
type Config struct {
	// Entries are the caller addresses (IP:port) of entry VMs. At least one is required.
	Entries []string `json:"entries"`
	// Classes are the kinds of requests, mixed by weight. At least one is required.
	Classes []Class `json:"classes"`
	// Rate is the number of requests per second over all classes. Required.
	Rate float64 `json:"rate"`
	// Uniform spaces the requests evenly instead of as a Poisson process. Default false.
	Uniform bool `json:"uniform,omitempty"`
	// DurationMillis is the length of the schedule, in ms. Required.
	DurationMillis int `json:"duration_ms"`
	// MaxInFlight limits the requests in flight. Requests above the limit are not sent and count as unsent; the run is then
	// not a valid open loop. Default 10000; zero means the default.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Seed makes the schedule repeatable.
	Seed uint64 `json:"seed,omitempty"`
	// CheckBody requires that the first body line of each 2xx response repeats the request, as test upstreams do.
	CheckBody bool `json:"check_body,omitempty"`
	// RecordKeys adds the final outcome of each idempotency key to the result, for comparison with the executions.
	RecordKeys bool `json:"record_keys,omitempty"`
}

// Class is one kind of request.
type Class struct {
	// Name identifies the class in the result. Required.
	Name string `json:"name"`
	// Service is the name of the service that receives the requests. Required.
	Service string `json:"service"`
	// Method is the HTTP method. Default GET; empty means the default.
	Method string `json:"method,omitempty"`
	// Path starts with a slash and the service name. A unique query is appended to it. Required.
	Path string `json:"path"`
	// Weight is the share of the class in the requests, relative to the other classes. Default 1; zero means the default.
	Weight float64 `json:"weight,omitempty"`
	// BodyBytes is the length of the request body, in bytes. Default 0.
	BodyBytes int `json:"body_bytes,omitempty"`
	// ClientAccount is sent as Bramleypick-Tenant unless empty.
	ClientAccount string `json:"tenant,omitempty"`
	// NonIdempotent sends each request with a unique Idempotency-Key and the time of the key.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// TimeoutMillis bounds a request with all its attempts, in ms. Default 10000; zero means the default.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
	// Resend is the resend policy of the class.
	Resend Resend `json:"resend,omitzero"`
}

// Resend is the policy for resending requests whose outcome is unknown, broken or lost.
type Resend struct {
	// Max is the maximum number of further attempts. They use the same key and, if there is one, another address.
	// Default 0.
	Max int `json:"max,omitempty"`
	// DelayMillis is the delay before each further attempt, in ms. Default 0.
	DelayMillis int `json:"delay_ms,omitempty"`
	// AttemptTimeoutMillis bounds each attempt, in ms. Zero means that only the timeout of the class applies.
	AttemptTimeoutMillis int `json:"attempt_timeout_ms,omitempty"`
	// NotRun also resends requests that certainly did not run. Default false.
	NotRun bool `json:"not_run,omitempty"`
}

const (
	defaultMaxInFlight = 10000
	defaultTimeout     = 10 * time.Second
)

func (c Config) withDefaults() Config {
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	c.Classes = append([]Class(nil), c.Classes...)
	for i := range c.Classes {
		class := &c.Classes[i]
		if class.Method == "" {
			class.Method = http.MethodGet
		}
		if class.Weight == 0 {
			class.Weight = 1
		}
		if class.TimeoutMillis == 0 {
			class.TimeoutMillis = int(defaultTimeout / time.Millisecond)
		}
	}
	return c
}

func (c Config) validate() error {
	if len(c.Entries) == 0 || len(c.Classes) == 0 {
		return errors.New("entries and classes must not be empty")
	}
	if c.Rate <= 0 || c.DurationMillis <= 0 || c.MaxInFlight < 0 {
		return errors.Errorf("rate (%v) and duration_ms (%d) must be above 0, and max_in_flight (%d) must not be negative",
			c.Rate, c.DurationMillis, c.MaxInFlight)
	}
	for _, class := range c.Classes {
		if class.Name == "" || class.Service == "" || !strings.HasPrefix(class.Path, "/") {
			return errors.Errorf("class %q needs a name, a service, and a path that starts with a slash", class.Name)
		}
		if class.Weight < 0 || class.BodyBytes < 0 || class.TimeoutMillis < 0 || class.Resend.Max < 0 {
			return errors.Errorf("class %q: weight (%v), body_bytes (%d), timeout_ms (%d) and resend.max (%d) must not be negative",
				class.Name, class.Weight, class.BodyBytes, class.TimeoutMillis, class.Resend.Max)
		}
	}
	return nil
}

func (c Class) timeout() time.Duration {
	return time.Duration(c.TimeoutMillis) * time.Millisecond
}
