package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/internal/loadgen"
	"github.com/bramleypick/bramleypick/internal/localdeploy"
	"github.com/bramleypick/bramleypick/internal/verify"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	soakVMs = 5
	// soakRate is the load in requests/s: enough that each fault affects some requests, and low enough for a machine that
	// runs other work at the same time.
	soakRate = 60
	// soakQuietPeriod is the period at the end of the load in which no fault begins.
	soakQuietPeriod = 2 * time.Second
)

// SoakRun is the result of the soak with one seed.
type SoakRun struct {
	Seed    uint64
	Faults  []string
	Verdict verify.Verdict
	// Violations describes the guarantees that did not hold.
	Violations []string
}

// soak is the state of a running soak.
type soak struct {
	deployment *deployment
	random     *rand.Rand

	mu       sync.Mutex
	run      SoakRun
	accepted uint64 // highest accepted configuration version
	// vmLocks serialize the faults of each VM, because they stop and restart the same process. Faults of different VMs
	// overlap.
	vmLocks [soakVMs]sync.Mutex
}

// Soak runs real processes on this machine under load and injects faults derived from the seed. It kills, freezes,
// or stops and restarts processes. It delays or resets connections to upstreams, or drops the data of one or both
// directions. It also changes the configuration. By comparing the responses to the callers with the executions at the
// upstreams, it checks that no request with an idempotency key ran twice, was answered without running, or ran although
// it was refused. After the load it checks that each process has a session, the newest accepted configuration is in
// force, requests are answered, and each process stops gracefully.
func Soak(ctx context.Context, programs Programs, dir string, basePort int, seed uint64, length time.Duration) (SoakRun, error) {
	d, err := newDeployment(ctx, programs, localdeploy.Plan{Dir: dir, Zones: zoneNames, VMs: soakVMs, ControlReplicas: 3, BasePort: basePort})
	if err != nil {
		return SoakRun{Seed: seed}, err
	}
	defer d.close()
	d.proxied = true
	s := &soak{deployment: d, random: rand.New(rand.NewPCG(seed, 0)), run: SoakRun{Seed: seed}}
	err = s.execute(ctx, length)
	return s.run, err
}

func (s *soak) execute(ctx context.Context, length time.Duration) error {
	d := s.deployment
	version, err := d.apply(ctx, zoneConfig())
	if err != nil {
		return err
	}
	s.accepted = version
	if err := d.startUpstreams(zoneUpstreams()); err != nil {
		return err
	}
	if err := d.waitOwned(ctx, zoneSetup().Upstreams); err != nil {
		return err
	}
	var faults sync.WaitGroup
	for _, f := range s.plan(length - soakQuietPeriod) {
		s.run.Faults = append(s.run.Faults, f.String())
		faults.Go(func() {
			select {
			case <-time.After(f.at):
				s.inject(ctx, f)
			case <-ctx.Done():
			}
		})
	}
	result, err := loadgen.Run(ctx, s.load(length, s.run.Seed))
	faults.Wait()
	if err != nil {
		return err
	}
	executions, err := d.executions(ctx)
	if err != nil {
		return err
	}
	s.run.Verdict = verify.Compare(result, executions)
	if !s.run.Verdict.OK() {
		s.recordViolation("requests: %+v", s.run.Verdict)
	}
	s.checkRecovery(ctx)
	return nil
}

func (s *soak) load(length time.Duration, seed uint64) loadgen.Config {
	load := s.deployment.zoneLoad(length, seed)
	load.Rate = soakRate
	load.Classes = load.Classes[:2] // without downloads, which take longer than the quiet period
	return load
}

func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run.Violations = append(s.run.Violations, fmt.Sprintf(format, args...))
}

// checkRecovery checks the guarantees that must hold once all faults have ended.
func (s *soak) checkRecovery(ctx context.Context) {
	d := s.deployment
	err := d.waitForStatus(ctx, "all VMs have a session and the newest configuration", func(r controlproto.Report) bool {
		live := 0
		for _, g := range newestSessions(r.Gateways) {
			if !g.Leaving {
				live++
			}
		}
		return live >= soakVMs && r.ConfigVersion >= s.accepted && r.InForce >= s.accepted
	})
	if err != nil {
		s.recordViolation("%v (accepted version %d)", err, s.accepted)
	}
	if err := s.waitAllAnswered(ctx); err != nil {
		s.recordViolation("%v", err)
	}
	var stops sync.WaitGroup
	for _, vm := range d.vms {
		stops.Go(func() {
			if err := vm.Stop(stopTimeout); err != nil {
				s.recordViolation("%v", err)
			}
		})
	}
	stops.Wait()
}

// waitAllAnswered runs load in rounds of one second until all requests of a round succeed.
func (s *soak) waitAllAnswered(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for seed := s.run.Seed + 1; ctx.Err() == nil; seed++ {
		result, err := loadgen.Run(ctx, s.load(time.Second, seed))
		if err != nil {
			return err
		}
		allOK := true
		for _, class := range result.Classes {
			for outcome, n := range class.Outcomes {
				allOK = allOK && (outcome == loadgen.OutcomeOK || n == 0)
			}
		}
		if allOK {
			return nil
		}
	}
	return errors.Errorf("some requests still fail %v after the faults ended", readyTimeout)
}

// change submits a configuration with the given queue limit and resends it until its outcome is known, as an operator
// would. A change whose base version is no longer the current one is rightly refused; its operator then makes it again on
// the new version. A refusal that names the base version of the change as the current one is a violation.
func (s *soak) change(ctx context.Context, queueLimit int) {
	config := zoneConfig()
	config.Services[0].QueueLimit = queueLimit
	data, err := dynconfig.Canonical(config)
	if err != nil {
		s.recordViolation("%v", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		current, err := s.deployment.operator.Config(ctx)
		if err == nil {
			var result api.ChangeResponse
			result, err = s.deployment.applyWithRetry(ctx, api.ConfigChange{
				BaseVersion: &current.ConfigVersion, ChangeID: fmt.Sprintf("soak-%d-%d", queueLimit, attempt), Config: data,
			})
			if err == nil {
				s.mu.Lock()
				s.accepted = max(s.accepted, result.ConfigVersion)
				s.mu.Unlock()
				return
			}
			var refusal *api.ErrorResponse
			if errors.As(err, &refusal) && refusal.Code == resultcode.VersionConflict && refusal.ConfigVersion != current.ConfigVersion {
				err = nil // another change was accepted meanwhile, or the VM that was asked for the version lags behind
			}
		}
		if err != nil && (ctx.Err() != nil || !isRetryable(err)) {
			s.recordViolation("change %d: %v", queueLimit, err)
			return
		}
		time.Sleep(pollInterval)
	}
}
