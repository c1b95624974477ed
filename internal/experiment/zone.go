package experiment

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/internal/loadgen"
	"github.com/bramleypick/bramleypick/internal/localdeploy"
	"github.com/bramleypick/bramleypick/internal/verify"
)

// Parameters of the zone experiment. zoneStopAt and zoneReturnAt count from the start of the load.
const (
	zoneStopAt       = 3 * time.Second
	zoneFaultDelay   = 50 * time.Millisecond // from the acceptance of the stop to the fault
	zoneReturnAt     = 9 * time.Second
	zoneLoadDuration = 15 * time.Second
	// zoneWarmUp is the duration of the load before the measurement, during which every upstream completes its cold
	// start.
	zoneWarmUp = 5 * time.Second
	// zoneFreezeDuration is how long the gateway stays frozen. It exceeds the session TTL of 3 s, so the lease expires.
	zoneFreezeDuration = 5 * time.Second
	// stoppedZone is the zone that is taken out of service and returned.
	stoppedZone = "bergamo"
	// stoppedZoneGateway is a gateway without a control replica in that zone, which owns upstreams there.
	stoppedZoneGateway = "vm05"
)

// ZoneVariant names the fault that is injected right after the stop was accepted.
type ZoneVariant string

// Variants of the zone experiment.
const (
	ZonePlain         ZoneVariant = "no fault"
	ZoneLeaderKilled  ZoneVariant = "control leader killed"
	ZoneGatewayKilled ZoneVariant = "gateway killed"
	ZoneGatewayFrozen ZoneVariant = "gateway frozen"
)

// ZoneVariants lists all variants.
var ZoneVariants = []ZoneVariant{ZonePlain, ZoneLeaderKilled, ZoneGatewayKilled, ZoneGatewayFrozen}

// ZoneRun is the result of one run of the zone experiment.
type ZoneRun struct {
	Variant ZoneVariant `json:"variant"`
	// LastNewRequestMillis is the time from the acceptance of the stop to the last new request at an upstream of the
	// zone, in ms. It is negative if that request came before the acceptance.
	LastNewRequestMillis int64 `json:"last_new_request_ms"`
	// InForceMillis is the time from the acceptance of the stop until it was in force everywhere, in ms.
	InForceMillis int64 `json:"in_force_ms"`
	// StoppedMillis is the time from the acceptance of the stop until it was reported as complete, in ms, or -1 if that
	// did not happen before the return.
	StoppedMillis int64 `json:"stopped_ms"`
	// ShareRestoredMillis is the time from the acceptance of the return until the zone had 80 % of its fair share of the
	// requests again, in ms, or -1 if that did not happen.
	ShareRestoredMillis int64 `json:"share_ms"`
	// MaxOverColdLimit is the most by which the concurrent requests at an upstream in cold start exceeded its
	// concurrency limit at that moment.
	MaxOverColdLimit int            `json:"most_beyond_cold"`
	Verdict          verify.Verdict `json:"verdict"`
	// Before, During and After are the medians, over 100 ms steps, of the p99 of successful requests, in ms: before the
	// stop, between stop and return, and after the return.
	Before, During, After float64               `json:"-"`
	P99                   map[string]float64    `json:"median_step_p99_ms"`
	Classes               []loadgen.ClassResult `json:"classes"`
	Steps                 []loadgen.Step        `json:"steps"`
	Shares                []ZoneSample          `json:"shares"`
	Setup                 ZoneSetup             `json:"sizes"`
}

// ZoneSetup describes the upstreams and the load of the zone experiment.
type ZoneSetup struct {
	Upstreams   int     `json:"upstreams"`
	LoadPercent int     `json:"load_percent_of_all_slots"`
	Rate        float64 `json:"requests_per_s"`
}

// Zone takes an availability zone out of service under load and returns it, once for each variant.
func Zone(ctx context.Context, programs Programs, dir string, basePort int, variants []ZoneVariant, progress io.Writer) ([]ZoneRun, error) {
	var runs []ZoneRun
	for i, variant := range variants {
		run, err := zoneRun(ctx, programs, fmt.Sprintf("%s/zone%d", dir, i), basePort, variant)
		if err != nil {
			return runs, errors.Wrapf(err, "zone experiment, %s", variant)
		}
		runs = append(runs, run)
		fmt.Fprintf(progress, "zone: %-21s last new request %d ms, in force %d ms, stopped %d ms, share restored %d ms, over cold limit %d\n  p99 %.1f / %.1f / %.1f ms; ",
			variant, run.LastNewRequestMillis, run.InForceMillis, run.StoppedMillis, run.ShareRestoredMillis, run.MaxOverColdLimit, run.Before, run.During, run.After)
		if err := run.Verdict.WriteText(progress); err != nil {
			return runs, err
		}
	}
	return runs, nil
}

func zoneRun(ctx context.Context, programs Programs, dir string, basePort int, variant ZoneVariant) (ZoneRun, error) {
	run := ZoneRun{Variant: variant}
	d, err := newDeployment(ctx, programs, localdeploy.Plan{Dir: dir, Zones: zoneNames, VMs: 6, ControlReplicas: 3, BasePort: basePort})
	if err != nil {
		return run, err
	}
	defer d.close()
	if _, err := d.apply(ctx, zoneConfig()); err != nil {
		return run, err
	}
	if err := d.startUpstreams(zoneUpstreams()); err != nil {
		return run, err
	}
	run.Setup = zoneSetup()
	if err := d.waitOwned(ctx, run.Setup.Upstreams); err != nil {
		return run, err
	}
	if _, err := loadgen.Run(ctx, d.zoneLoad(zoneWarmUp, 1)); err != nil {
		return run, err
	}
	if _, err := d.reports(ctx, true); err != nil {
		return run, err
	}
	return run, d.runZoneStop(ctx, &run)
}

// runZoneStop runs the load, concurrently stops and returns the zone with the fault of the variant, and evaluates the
// results.
func (d *deployment) runZoneStop(ctx context.Context, run *ZoneRun) error {
	sampler := d.startSampler(ctx)
	started := time.Now()
	operatorDone := make(chan error, 1)
	go func() { operatorDone <- d.stopAndReturnZone(ctx, run, started, sampler) }()
	result, err := loadgen.Run(ctx, d.zoneLoad(zoneLoadDuration, 2))
	run.Shares = sampler.stop()
	if operatorErr := <-operatorDone; operatorErr != nil {
		return operatorErr
	}
	if err != nil {
		return err
	}
	executions, err := d.executions(ctx)
	if err != nil {
		return err
	}
	run.Verdict = verify.Compare(result, executions)
	run.Classes, run.Steps = result.Classes, result.Steps
	run.Before = medianP99(result.Steps, 0, zoneStopAt)
	run.During = medianP99(result.Steps, zoneStopAt, zoneReturnAt)
	run.After = medianP99(result.Steps, zoneReturnAt, zoneLoadDuration)
	run.P99 = map[string]float64{"before": run.Before, "during": run.During, "after": run.After}
	return d.recordColdOverload(ctx, run)
}

// stopAndReturnZone stops the zone, injects the fault, simulates a restart of the upstreams of the zone, and returns it with
// them in cold start.
func (d *deployment) stopAndReturnZone(ctx context.Context, run *ZoneRun, started time.Time, sampler *shareSampler) error {
	sleepUntil(ctx, started.Add(zoneStopAt))
	stop := dynconfig.Stop{Zone: stoppedZone}
	accepted, err := d.operator.Stop(ctx, api.StopChange{ChangeID: "stop", Stop: stop})
	if err != nil {
		return err
	}
	stopAcceptedAt := time.Now()
	if err := d.inject(ctx, run.Variant); err != nil {
		return err
	}
	if err := d.waitInForce(ctx, accepted.ConfigVersion); err != nil {
		return err
	}
	run.InForceMillis = time.Since(stopAcceptedAt).Milliseconds()
	run.StoppedMillis = d.waitStopped(ctx, stopAcceptedAt, started.Add(zoneReturnAt))
	sleepUntil(ctx, started.Add(zoneReturnAt))
	if run.LastNewRequestMillis, err = d.lastNewRequest(ctx, stopAcceptedAt); err != nil {
		return err
	}
	// The upstreams restart while their zone is out of service.
	if err := d.restartZoneCold(ctx); err != nil {
		return err
	}
	if _, err := d.operator.Return(ctx, api.StopChange{ChangeID: "return", Stop: stop}); err != nil {
		return err
	}
	returnAcceptedAt := time.Now()
	run.ShareRestoredMillis = sampler.waitForShare(ctx, returnAcceptedAt, started.Add(zoneLoadDuration))
	return nil
}

// inject injects the fault of the variant. A frozen gateway is resumed in the background after zoneFreezeDuration.
func (d *deployment) inject(ctx context.Context, variant ZoneVariant) error {
	time.Sleep(zoneFaultDelay)
	switch variant {
	case ZoneLeaderKilled:
		leader, err := d.leader(ctx)
		if err != nil {
			return err
		}
		leader.Kill()
	case ZoneGatewayKilled:
		d.vm(stoppedZoneGateway).Kill()
	case ZoneGatewayFrozen:
		p := d.vm(stoppedZoneGateway)
		p.Signal(syscall.SIGSTOP)
		time.AfterFunc(zoneFreezeDuration, func() { p.Signal(syscall.SIGCONT) })
	}
	return nil
}

// waitStopped returns the time in ms from since until the stop was reported as complete, or -1 if that did not happen
// up to one second before the deadline.
func (d *deployment) waitStopped(ctx context.Context, since, deadline time.Time) int64 {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-time.Second))
	defer cancel()
	err := d.waitForStatus(ctx, "the zone is stopped", func(r controlproto.Report) bool {
		for _, s := range r.Stops {
			if s.Zone == stoppedZone {
				return s.Stopped
			}
		}
		return false
	})
	if err != nil {
		return -1
	}
	return time.Since(since).Milliseconds()
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}
