package dynconfig

// Service is a group of interchangeable upstreams.
type Service struct {
	// Name is the first path segment of the service's requests.
	Name    string  `json:"name"`
	Classes []Class `json:"classes"`
	// GatewaysPerZone is the number of gateways in each zone that serve the service. Default 2; zero means the default.
	GatewaysPerZone int `json:"gateways_per_zone,omitempty"`
	// Policy is the upstream selection policy. Default PolicyOwner; the others are baselines for measurements.
	Policy Policy `json:"policy,omitempty"`
	// MaxUpstreams is the maximum number of registered upstreams. Default 200; zero means the default.
	MaxUpstreams int `json:"max_upstreams,omitempty"`
	// QueueLimit is the maximum number of queued requests in one gateway. Default 256; zero means the default.
	QueueLimit int `json:"queue_limit,omitempty"`
	// OverAllowance is the number of idempotent requests that a warm upstream may have in flight in addition to its slots
	// while all slots are busy. Default 0, because the upstreams fail when they get more concurrent requests than slots.
	OverAllowance int `json:"over_allowance,omitempty"`
	// ColdSlots is the number of requests that an upstream in cold start may have in flight. Default 1; zero means the default.
	ColdSlots int `json:"cold_slots,omitempty"`
	// ProbesPerSecond is the probe budget of each upstream in requests per second, summed over all gateways. Default 1;
	// zero means the default.
	ProbesPerSecond float64 `json:"probes_per_second,omitempty"`
	// ProbeBytesPerSecond is the probe budget of each upstream in bytes per second, summed over all gateways. Default
	// 1024; zero means the default.
	ProbeBytesPerSecond int `json:"probe_bytes_per_second,omitempty"`
	// RetryPercent is the budget of retries and hedges as a percentage of first attempts. Default 10; zero means the
	// default and -1 means no retries and hedges.
	RetryPercent int `json:"retry_percent,omitempty"`
	// AddressTTLMillis is how long callers may cache an address response, in ms. Default 2000; zero means the default.
	AddressTTLMillis int `json:"address_ttl_ms,omitempty"`
}

// Policy names an upstream selection policy.
type Policy string

// Selection policies.
const (
	PolicyOwner      Policy = "owner"       // Each upstream has one owner gateway; the default.
	PolicyRandom     Policy = "random"      // Baseline: every gateway picks an upstream at random and queues no requests.
	PolicyTwoChoices Policy = "two_choices" // Baseline: the better of two random upstreams by the in-flight counts of this gateway.
)

// Class is a class of requests of a service, selected by method and path prefix. The longest matching prefix wins.
type Class struct {
	Name string `json:"name"`
	// Method is the HTTP method. Empty matches every method.
	Method string `json:"method,omitempty"`
	// PathPrefix starts with a slash and the name of the service.
	PathPrefix string `json:"path_prefix"`
	// Idempotent is true if running a request twice has the same effect as running it once. Otherwise each request
	// needs an Idempotency-Key.
	Idempotent bool `json:"idempotent,omitempty"`
	// Priority determines which requests are shed first under overload: those with the lowest number. Default 0.
	Priority int `json:"priority,omitempty"`
	// TimeoutMillis is the timeout of a request that does not set a deadline, in ms. Default 10000; zero means the
	// default.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
	// MaxBodyBytes is the maximum size of a request body, in bytes. Default 1 MiB; zero means the default.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// HedgeAfterMillis is the delay in ms after which a hedged second attempt of an idempotent request starts. Zero
	// means no hedging.
	HedgeAfterMillis int `json:"hedge_after_ms,omitempty"`
	// KeyHorizonMillis is how long claims of idempotency keys are kept, in ms. Default 24 h; zero means the default.
	KeyHorizonMillis int64 `json:"key_horizon_ms,omitempty"`
	// UntimedKeys accepts idempotency keys without a Bramleypick-Key-Time header. A request with such a key can run a
	// second time if it is resent after the horizon, because its claim has been deleted and its age is unknown. Default
	// false.
	UntimedKeys bool `json:"untimed_keys,omitempty"`
}
