package dynconfig

// Service is a group of interchangeable upstreams.
type Service struct {
	// Name is the first path segment of the service's requests.
	Name    string  `json:"name"`
	Classes []Class `json:"classes"`
	// GatewaysPerZone is how many gateways of each zone serve the service. Default 2; zero means the default.
	GatewaysPerZone int `json:"gateways_per_zone,omitempty"`
	// Policy selects upstreams. Default PolicyOwner; the others are baselines for measurements.
	Policy Policy `json:"policy,omitempty"`
	// MaxUpstreams bounds the announced upstreams. Default 200; zero means the default.
	MaxUpstreams int `json:"max_upstreams,omitempty"`
	// QueueLimit bounds the requests waiting in one gateway. Default 256; zero means the default.
	QueueLimit int `json:"queue_limit,omitempty"`
	// OverAllowance is how many requests beyond its slots a warm upstream may hold while all are busy, for idempotent
	// requests only. Default 0: the upstreams fall over beyond their slots.
	OverAllowance int `json:"over_allowance,omitempty"`
	// ColdSlots is how many requests an upstream in cold start may hold. Default 1; zero means the default.
	ColdSlots int `json:"cold_slots,omitempty"`
	// ProbesPerSecond is the measuring budget of each upstream, in requests per second, summed over all gateways. Default 1; zero
	// means the default.
	ProbesPerSecond float64 `json:"probes_per_second,omitempty"`
	// ProbeBytesPerSecond is the same budget in bytes per second. Default 1024; zero means the default.
	ProbeBytesPerSecond int `json:"probe_bytes_per_second,omitempty"`
	// RetryPercent is the budget of retries and hedges as a percentage of first tries. Default 10; negative means none.
	RetryPercent int `json:"retry_percent,omitempty"`
	// AddressTTLMillis is how long callers may keep an address answer, in ms. Default 2000; zero means the default.
	AddressTTLMillis int `json:"address_ttl_ms,omitempty"`
}

// Policy names an upstream selection policy.
type Policy string

// Selection policies.
const (
	PolicyOwner      Policy = "owner"       // Each upstream has one owner gateway; the default.
	PolicyRandom     Policy = "random"      // Baseline: every gateway picks at random and queues nothing.
	PolicyTwoChoices Policy = "two_choices" // Baseline: the better of two random upstreams by this gateway's own in-flight counts.
)

// Class is a kind of request of a service, recognised by method and path prefix. The longest matching prefix wins.
type Class struct {
	Name string `json:"name"`
	// Method is the HTTP method. Empty matches every method.
	Method string `json:"method,omitempty"`
	// PathPrefix starts with a slash and the service's name.
	PathPrefix string `json:"path_prefix"`
	// Idempotent is true where running a request twice has the effect of running it once. Otherwise each request needs an
	// Idempotency-Key.
	Idempotent bool `json:"idempotent,omitempty"`
	// Priority decides who is shed last: a larger number is kept longer. Default 0.
	Priority int `json:"priority,omitempty"`
	// TimeoutMillis is the deadline of a request that brings none, in ms. Default 10000; zero means the default.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
	// MaxBodyBytes bounds the request body. Default 1 MiB; zero means the default.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// HedgeAfterMillis starts a second try of an idempotent request after so many ms. Zero means no hedging.
	HedgeAfterMillis int `json:"hedge_after_ms,omitempty"`
	// KeyHorizonMillis is how long claims of idempotency keys are kept, in ms. Default 24 h; zero means the default.
	KeyHorizonMillis int64 `json:"key_horizon_ms,omitempty"`
	// UntimedKeys accepts idempotency keys without a Bramleypick-Key-Time header. Such a key can run a second time when it is
	// resent after the horizon, because its claim is gone and its age is not known. Default false.
	UntimedKeys bool `json:"untimed_keys,omitempty"`
}
