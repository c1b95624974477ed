package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/internal/localdeploy"
)

const (
	changeCount = 200
	// changesPerKill is the number of configuration changes per kill and restart of a process.
	changesPerKill = 20
)

// ChangesRun is the result of Changes: how long configuration changes took while a process was killed and restarted every
// changesPerKill changes.
type ChangesRun struct {
	Changes int `json:"changes"`
	Kills   int `json:"kills"`
	// Accepted holds percentiles, in ms, of the time until the operator receives the response. InForce holds those of
	// the time from then until the version is in force everywhere.
	Accepted Percentiles `json:"accepted_ms"`
	InForce  Percentiles `json:"in_force_ms"`
	// Reverted counts, over all status reports, the gateways that confirmed a lower version than before.
	Reverted int `json:"reverted"`
}

// Percentiles summarises durations, in ms.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Changes measures how long configuration changes take to be accepted, and then to be in force everywhere.
func Changes(ctx context.Context, programs Programs, dir string, basePort int, progress io.Writer) (ChangesRun, error) {
	run := ChangesRun{}
	d, err := newDeployment(ctx, programs, localdeploy.Plan{Dir: dir, Zones: zoneNames, VMs: 6, ControlReplicas: 3, BasePort: basePort})
	if err != nil {
		return run, err
	}
	defer d.close()
	var acceptTimes, inForceTimes []time.Duration
	config := tailConfig(dynconfig.PolicyOwner)
	highest := make(map[string]uint64)
	for i := range changeCount {
		if i%changesPerKill == changesPerKill-1 {
			if err := d.killAndRestart(run.Kills); err != nil {
				return run, err
			}
			run.Kills++
		}
		config.Services[0].QueueLimit = 100 + i
		acceptTime, inForceTime, err := d.change(ctx, config, uint64(i), highest, &run)
		if err != nil {
			return run, errors.Wrapf(err, "change %d", i)
		}
		acceptTimes, inForceTimes = append(acceptTimes, acceptTime), append(inForceTimes, inForceTime)
		run.Changes++
	}
	run.Accepted, run.InForce = percentiles(acceptTimes), percentiles(inForceTimes)
	fmt.Fprintf(progress, "changes: %d with %d kills: accepted p50 %.0f p99 %.0f max %.0f ms; then in force everywhere p50 %.0f p99 %.0f max %.0f ms; reverted %d\n",
		run.Changes, run.Kills, run.Accepted.P50, run.Accepted.P99, run.Accepted.Max, run.InForce.P50, run.InForce.P99, run.InForce.Max, run.Reverted)
	return run, nil
}

// killAndRestart kills and restarts one VM process. Successive turns go through all VMs, including the control replicas
// and the leader.
func (d *deployment) killAndRestart(turn int) error {
	p := d.vms[turn%len(d.vms)]
	p.Kill()
	return p.Restart()
}

// change submits a change with the given base version. It returns the time until the change was accepted, and the time
// from then until it was in force everywhere. highest holds the highest version that each gateway has confirmed so far;
// gateways that report a lower one are counted in run.Reverted.
func (d *deployment) change(ctx context.Context, config dynconfig.Config, base uint64, highest map[string]uint64, run *ChangesRun) (accepted, inForce time.Duration, err error) {
	data, err := dynconfig.Canonical(config)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	change := api.ConfigChange{BaseVersion: &base, ChangeID: fmt.Sprintf("change-%d", base), Config: data}
	result, err := d.applyWithRetry(ctx, change)
	if err != nil {
		return 0, 0, err
	}
	if result.ConfigVersion != base+1 {
		return 0, 0, errors.Errorf("change accepted as version %d, want %d", result.ConfigVersion, base+1)
	}
	acceptedAt := time.Now()
	err = d.waitForStatus(ctx, "the change is in force everywhere", func(r controlproto.Report) bool {
		for _, g := range newestSessions(r.Gateways) {
			if g.ConfigVersion != 0 && g.ConfigVersion < highest[g.Name] {
				run.Reverted++
			}
			highest[g.Name] = max(highest[g.Name], g.ConfigVersion)
		}
		return r.InForce >= result.ConfigVersion
	})
	return acceptedAt.Sub(start), time.Since(acceptedAt), err
}

// newestSessions returns the newest session of each gateway. The session of a killed process stays in the report at its
// last version until its lease expires, next to the session of the restarted process.
func newestSessions(gateways []controlproto.GatewayReport) []controlproto.GatewayReport {
	newest := make(map[string]uint64)
	for _, g := range gateways {
		newest[g.Name] = max(newest[g.Name], g.SessionID)
	}
	return slices.DeleteFunc(slices.Clone(gateways), func(g controlproto.GatewayReport) bool { return g.SessionID < newest[g.Name] })
}

// applyWithRetry resends a change with the same change id until it is accepted or gets a refusal that is not retryable.
func (d *deployment) applyWithRetry(ctx context.Context, change api.ConfigChange) (api.ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		accepted, err := d.operator.Apply(ctx, change)
		if err == nil || ctx.Err() != nil {
			return accepted, err
		}
		if !isRetryable(err) {
			return accepted, err
		}
		time.Sleep(pollInterval)
	}
}

// isRetryable reports whether a call of the operator may be made again after an error.
func isRetryable(err error) bool {
	var refusal *api.ErrorResponse
	return !errors.As(err, &refusal) || refusal.Retryable()
}

// percentiles summarises at least one duration.
func percentiles(durations []time.Duration) Percentiles {
	sorted := slices.Sorted(slices.Values(durations))
	at := func(q float64) float64 { return sorted[int(q*float64(len(sorted)-1))].Seconds() * 1000 }
	return Percentiles{P50: at(0.5), P99: at(0.99), Max: at(1)}
}
