package edge

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bramleypick/bramleypick/resultcode"
)

// sampleSize is the number of values in a histogram's sample: 256 values of 8 bytes take 2 KB.
const sampleSize = 256

// Metrics holds the metrics of a gateway. Those of a service have names of the form SERVICE.NAME, with durations in µs.
// Failures are counted over all services, as code.NUMBER.NAME of the result code.
type Metrics struct {
	// Registry holds all counters, gauges and histograms.
	Registry metrics.Registry
	traffic  *trafficMetrics

	mu       sync.Mutex
	services map[string]*serviceMetrics
}

type serviceMetrics struct {
	requests, answered, late, retries, hedges, hedgesWon metrics.Counter
	// otherZone counts the attempts sent to upstreams in other zones.
	otherZone                 metrics.Counter
	latency, waiting, serving metrics.Histogram
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	registry := metrics.NewRegistry()
	return &Metrics{Registry: registry, traffic: newTrafficMetrics(registry), services: make(map[string]*serviceMetrics)}
}

func (m *Metrics) service(name string) *serviceMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		counter := func(n string) metrics.Counter { return metrics.GetOrRegisterCounter(name+"."+n, m.Registry) }
		histogram := func(n string) metrics.Histogram {
			return metrics.GetOrRegisterHistogram(name+"."+n, m.Registry, metrics.NewUniformSample(sampleSize))
		}
		s = &serviceMetrics{
			requests: counter("requests"), answered: counter("answered"), late: counter("late"),
			retries: counter("retries"), hedges: counter("hedges"), hedgesWon: counter("hedges_won"), otherZone: counter("other_zone"),
			latency: histogram("latency_us"), waiting: histogram("waiting_us"), serving: histogram("serving_us"),
		}
		m.services[name] = s
	}
	return s
}

// countFailure counts a failure by its result code.
func (m *Metrics) countFailure(code resultcode.Code) {
	metrics.GetOrRegisterCounter("code."+strconv.Itoa(int(code))+"."+code.String(), m.Registry).Inc(1)
}

// recordResponse records a request that got a response from an upstream. waiting is the time before the attempt was
// sent.
func (s *serviceMetrics) recordResponse(waiting, total, target time.Duration) {
	s.answered.Inc(1)
	s.latency.Update(total.Microseconds())
	s.waiting.Update(waiting.Microseconds())
	s.serving.Update((total - waiting).Microseconds())
	if target > 0 && total > target {
		s.late.Inc(1)
	}
}
