package loadgen

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	stepLength = 100 * time.Millisecond // length of a step of the time series

	// Latencies are recorded in µs, from 1 µs to 10 min, with 3 significant digits.
	maxLatencyMicros  = 10 * 60 * 1000 * 1000
	significantDigits = 3
)

// sample is the measurement of one request with its final outcome.
type sample struct {
	class    int
	at       time.Duration // intended send time, from the start of the run
	latency  time.Duration // from the intended send time
	result   attemptResult
	attempts int
	key      string
	lateness time.Duration // actual start, from the intended send time
}

// collector aggregates the samples of a run. It is safe for concurrent use.
type collector struct {
	config Config

	mu       sync.Mutex
	classes  []classSamples
	steps    []stepSamples
	keys     map[string]Outcome
	lateness *hdrhistogram.Histogram // µs
}

type classSamples struct {
	unsent, resent    int
	outcomes          map[Outcome]int
	codes             map[string]int
	succeeded, failed *hdrhistogram.Histogram // latencies of successful and of failed requests, in µs
}

type stepSamples struct {
	outcomes  map[Outcome]int
	latencies []float32 // latencies of successful requests, in ms
}

func newCollector(c Config) *collector {
	collector := &collector{config: c, keys: map[string]Outcome{},
		lateness: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
	for range c.Classes {
		collector.classes = append(collector.classes, classSamples{
			outcomes: map[Outcome]int{}, codes: map[string]int{},
			succeeded: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
			failed:    hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		})
	}
	return collector
}

func (c *collector) recordUnsent(class int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.classes[class].unsent++
}

func (c *collector) record(s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	class := &c.classes[s.class]
	class.outcomes[s.result.outcome]++
	class.codes[s.result.code]++
	class.resent += s.attempts - 1
	c.lateness.RecordValue(min(max(s.lateness.Microseconds(), 1), maxLatencyMicros)) // cannot fail within the bounds
	index := int(s.at / stepLength)
	for len(c.steps) <= index {
		c.steps = append(c.steps, stepSamples{outcomes: map[Outcome]int{}})
	}
	step := &c.steps[index]
	step.outcomes[s.result.outcome]++
	micros := min(max(s.latency.Microseconds(), 1), maxLatencyMicros)
	histogram := class.failed
	if s.result.outcome == OutcomeOK {
		histogram = class.succeeded
		step.latencies = append(step.latencies, float32(micros)/1000)
	}
	histogram.RecordValue(micros) // cannot fail within the bounds
	if c.config.RecordKeys && s.key != "" {
		c.keys[s.key] = s.result.outcome
	}
}

func (c *collector) result(resolvers map[string]*resolver) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Result{Lateness: summarise(c.lateness)}
	for i, class := range c.classes {
		r.Classes = append(r.Classes, ClassResult{
			Name: c.config.Classes[i].Name, Unsent: class.unsent, Resent: class.resent, Outcomes: class.outcomes,
			Codes: class.codes, Latency: summarise(class.succeeded), FailureLatency: summarise(class.failed),
		})
	}
	for i, step := range c.steps {
		slices.Sort(step.latencies)
		r.Steps = append(r.Steps, Step{AtMillis: i * int(stepLength/time.Millisecond), Outcomes: step.outcomes,
			P50: quantile(step.latencies, 0.5), P99: quantile(step.latencies, 0.99)})
	}
	if c.config.RecordKeys {
		r.Keys = c.keys
	}
	for _, resolver := range resolvers {
		resolver.mu.Lock()
		r.AddressFailures += resolver.failures
		r.StaleAddresses += resolver.stale
		resolver.mu.Unlock()
	}
	return r
}

// quantile returns the smallest of the sorted values such that at least the fraction q of them is less than or equal to
// it.
func quantile(sorted []float32, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	// Rounds up, except that a floating-point error just above a whole number does not raise the rank.
	rank := int(float64(len(sorted))*q + 0.999999)
	return float64(sorted[min(max(rank, 1), len(sorted))-1])
}
