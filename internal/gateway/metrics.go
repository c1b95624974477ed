package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bramleypick/bramleypick/admission"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// sampleSize and sampleAlpha are those of an exponentially decaying sample of the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// instruments holds the metrics of the data path. Looking one up by name costs more than updating it, so each is kept.
type instruments struct {
	registry  metrics.Registry
	maxSeries int

	mu     sync.RWMutex
	series map[seriesKey]*series
	// counters and gauges are those of a service, by service and name.
	counters map[[2]string]metrics.Counter
	gauges   map[[2]string]metrics.Gauge
	codes    map[resultcode.Code]metrics.Counter
}

// seriesKey names a combination with metrics of its own.
type seriesKey struct{ service, class, account string }

// series are the metrics of one combination.
type series struct {
	latency  metrics.Histogram // In microseconds, from arrival to the end of the answer.
	requests metrics.Counter
	refused  metrics.Counter // Requests that the gateway answered with a code of its own.
}

func newInstruments(registry metrics.Registry, maxSeries int) *instruments {
	return &instruments{
		registry: registry, maxSeries: maxSeries, series: make(map[seriesKey]*series),
		counters: make(map[[2]string]metrics.Counter), gauges: make(map[[2]string]metrics.Gauge),
		codes: make(map[resultcode.Code]metrics.Counter),
	}
}

// recordRequest records the end of a request.
func (m *instruments) recordRequest(c *call) {
	if c.code != resultcode.OK {
		m.codeCounter(c.code).Inc(1)
	}
	if c.class == nil {
		return
	}
	s := m.seriesFor(seriesKey{c.service.config.Name, c.class.Name, c.account})
	s.requests.Inc(1)
	s.latency.Update(time.Since(c.start).Microseconds())
	if c.code != resultcode.OK {
		s.refused.Inc(1)
	}
}

// seriesFor returns the metrics seriesFor a combination. Beyond the limit all further ones share one.
func (m *instruments) seriesFor(key seriesKey) *series {
	m.mu.RLock()
	s, full := m.series[key], len(m.series) >= m.maxSeries
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	if full {
		key = seriesKey{"other", "other", "other"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s = m.series[key]; s != nil {
		return s
	}
	prefix := "gateway." + key.service + "." + key.class + "." + key.account + "."
	s = &series{
		latency: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)), requests: metrics.NewCounter(),
		refused: metrics.NewCounter(),
	}
	m.register(prefix+"latency_us", s.latency)
	m.register(prefix+"requests", s.requests)
	m.register(prefix+"refused", s.refused)
	m.series[key] = s
	return s
}

func (m *instruments) register(name string, metric any) {
	// A name is registered twice only by two gateways that share a registry, as in tests.
	_ = m.registry.Register(name, metric)
}

func (m *instruments) codeCounter(code resultcode.Code) metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := m.codes[code]
	if counter == nil {
		counter = metrics.NewCounter()
		m.codes[code] = counter
		m.register("gateway.code."+strconv.Itoa(int(code))+"."+code.String(), counter)
	}
	return counter
}

func (m *instruments) counter(service, name string) metrics.Counter {
	key := [2]string{service, name}
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := m.counters[key]
	if counter == nil {
		counter = metrics.NewCounter()
		m.counters[key] = counter
		m.register("gateway."+service+"."+name, counter)
	}
	return counter
}

// increment adds one to a counter of a service.
func (m *instruments) increment(service, name string) { m.counter(service, name).Inc(1) }

// recordProbe records what a recordProbe cost.
func (m *instruments) recordProbe(service string, bytes int) {
	m.counter(service, "probes").Inc(1)
	m.counter(service, "probe_bytes").Inc(int64(bytes))
}

// setQueueLength records the present length of a setQueueLength.
func (m *instruments) setQueueLength(service string, length int) {
	m.setGauge(service, "queue", int64(length))
}

// setProbeBudget records what the probes of the owned upstreams may cost.
func (m *instruments) setProbeBudget(service string, upstreams int, config *admission.Config) {
	m.setGauge(service, "probe_budget_per_minute", int64(float64(upstreams)*config.ProbesPerSecond*60))
	m.setGauge(service, "probe_budget_bytes_per_minute", int64(upstreams)*int64(config.ProbeBytesPerSecond)*60)
}

func (m *instruments) setGauge(service, name string, value int64) {
	key := [2]string{service, name}
	m.mu.Lock()
	gauge := m.gauges[key]
	if gauge == nil {
		gauge = metrics.NewGauge()
		m.gauges[key] = gauge
		m.register("gateway."+service+"."+name, gauge)
	}
	m.mu.Unlock()
	gauge.Update(value)
}
