package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/overload"
	"github.com/bramleypick/bramleypick/routing"
)

const (
	// overloadInterval is the time between two calls of TakeOverload.
	overloadInterval = 250 * time.Millisecond
	// admissionLogInterval bounds the log lines about changes of the level of one service.
	admissionLogInterval = time.Second
)

// admission decides which requests of a service are admitted. Services have none if the configuration has no accounts.
type admission struct {
	service string
	log     *zap.Logger
	shed    metrics.Counter
	// level is the priority of which a part is admitted, or -1, and share that part in percent.
	level, share metrics.Gauge

	mu       sync.Mutex
	control  *overload.Controller
	logged   overload.State
	loggedAt time.Time
}

func newAdmission(service string, cfg *Config) *admission {
	registry := cfg.Metrics.Registry
	a := &admission{
		service: service, log: cfg.Log, control: overload.NewController(), shed: metrics.GetOrRegisterCounter(service+".shed", registry),
		level: metrics.GetOrRegisterGauge(service+".admission_level", registry),
		share: metrics.GetOrRegisterGauge(service+".admission_percent", registry),
	}
	a.showAll()
	return a
}

// showAll sets the gauges to what they are while all requests are admitted.
func (a *admission) showAll() {
	a.level.Update(-1)
	a.share.Update(100)
}

// needsAdmission reports whether requests differ in their accounts. Services without accounts whose routes differ in priority do not
// have one: there, refusing requests as they meet busy upstreams serves more of them, and of the urgent ones too.
func needsAdmission(config *routing.Config) bool { return len(config.Accounts) > 0 }

// updateAdmission applies a new configuration to the services. The caller holds mu.
func (g *Gateway) updateAdmission(config *routing.Config) {
	if config == g.admissionConfig {
		return
	}
	g.admissionConfig = config
	rates := make(map[string]float64, len(config.Accounts))
	for i := range config.Accounts {
		rates[config.Accounts[i].Name] = config.Accounts[i].RequestsPerSecond
	}
	limiting := false
	for name, s := range g.services {
		if !needsAdmission(config) {
			if a := s.admission.Swap(nil); a != nil {
				a.showAll()
			}
			continue
		}
		limiting = true
		a := s.admission.Load()
		if a == nil {
			a = newAdmission(name, &g.cfg)
		}
		a.mu.Lock()
		a.control.SetRates(rates)
		a.mu.Unlock()
		s.admission.Store(a)
	}
	g.admits.Store(limiting)
}

// admit decides whether the request is among those that the service can run. The body has not been read yet.
func (c *call) admit() *failure {
	a := c.service.admission.Load()
	if a == nil {
		return nil
	}
	var account string
	if c.account != nil {
		account = c.account.Name
	}
	c.admission, c.work = a, c.service.expectedWork(c.requirements())
	class, now := overload.NewClass(c.priority(), account), time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.control.Admit(class, c.work, rand.Float64()) {
		return nil
	}
	a.shed.Inc(1)
	f := shedByPriority
	f.retryAfter, _ = a.control.RetryAfter(rand.Float64(), c.timeLeft())
	c.admissionFields = append(admissionFields(a.control.State(float64(time.Second/overloadInterval), now)),
		zap.Int("priority", c.priority()), zap.Float64("admitted_share", a.control.Share(class)))
	return &f
}

// expectedWork returns the mean service time of the route in ms.
func (s *service) expectedWork(r balancing.Requirements) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.balancer.ServiceTime(r)) / float64(time.Millisecond)
}

// recordPlacement records whether there was room for the request. Upstreams that do not respond to probes show no overload, and
// neither does a service without upstreams.
func (c *call) recordPlacement(first *attempt, decision balancing.Decision) {
	if c.admission == nil {
		return
	}
	c.admission.mu.Lock()
	defer c.admission.mu.Unlock()
	switch decision {
	case balancing.Send:
		c.admission.control.Placed(c.work, first.candidate.HasHeadroom)
	case balancing.Overloaded:
		c.admission.control.Refused(c.work)
	}
}

// withReturnTime returns the failure with the time after which the client may return, if it is due to an overload in which
// requests are shed: clients return spread over time then. It also counts requests that upstreams had no room for.
func (c *call) withReturnTime(f *failure) *failure {
	rejected := f.code == upstreamRefused.code
	if c.admission == nil || f.code != allOverloaded.code && !rejected {
		return f
	}
	c.admission.mu.Lock()
	defer c.admission.mu.Unlock()
	if rejected {
		c.admission.control.Refused(c.work)
	}
	pause, ok := c.admission.control.RetryAfter(rand.Float64(), c.timeLeft())
	if !ok {
		return f
	}
	spread := *f
	spread.retryAfter = pause
	return &spread
}
