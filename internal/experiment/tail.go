package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/loadgen"
	"github.com/bramleypick/bramleypick/internal/localdeploy"
)

// Parameters of the tail latency experiment: one service of 20 upstreams with 3 slots each, like the status service of the
// user in examples/idrovigile. The service time is long enough that ten cores can sustain a load of 85 % of the slots.
const (
	tailVMs            = 6
	tailSlots          = 3
	tailServiceMillis  = 20
	tailLoadDuration   = 2 * time.Second
	tailWarmUp         = time.Second
	straggleFactor     = "6"
	straggleMillis     = "100"
	straggleGapMillis  = "4000"
	tailRequestTimeout = 5 * time.Second
)

var (
	tailLoads    = []int{50, 70, 85} // percent of the slots
	tailPolicies = []dynconfig.Policy{dynconfig.PolicyOwner, dynconfig.PolicyTwoChoices, dynconfig.PolicyRandom}
	// tailGroupCounts spreads 20 upstreams over three zones.
	tailGroupCounts = []int{7, 7, 6}
)

// TailRun is the result of one run of the tail latency experiment.
type TailRun struct {
	OneWayDelayMillis float64          `json:"one_way_delay_ms"`
	LoadPercent       int              `json:"load_percent"`
	Policy            dynconfig.Policy `json:"policy"`
	Seed              uint64           `json:"seed"`
	Sent              int              `json:"sent"`
	Shed              int              `json:"shed"`
	Failed            int              `json:"failed"`
	Latency           loadgen.Latency  `json:"latency"`
	// MaxConcurrent is the highest number of concurrent requests at any upstream.
	MaxConcurrent int `json:"most_at_once"`
	// LatenessP99 is the p99 of the delay that the load generator itself caused, in ms.
	LatenessP99 float64 `json:"lateness_p99_ms"`
}

// Tail measures tail latency with each policy at each load. Upstreams become stragglers at random times.
func Tail(ctx context.Context, programs Programs, dir string, basePort int, oneWayDelay time.Duration, seeds []uint64, progress io.Writer) ([]TailRun, error) {
	d, err := newDeployment(ctx, programs, localdeploy.Plan{
		Dir: dir, Zones: zoneNames, VMs: tailVMs, ControlReplicas: 3, BasePort: basePort,
	})
	if err != nil {
		return nil, err
	}
	defer d.close()
	if _, err := d.apply(ctx, tailConfig(dynconfig.PolicyOwner)); err != nil {
		return nil, err
	}
	if err := d.startUpstreams(tailUpstreams(oneWayDelay)); err != nil {
		return nil, err
	}
	if err := d.waitOwned(ctx, sum(tailGroupCounts)); err != nil {
		return nil, err
	}
	var runs []TailRun
	for _, seed := range seeds {
		for _, load := range tailLoads {
			// All policies run in turn for each seed and load, so that a drift in machine performance affects them equally.
			for _, policy := range tailPolicies {
				run, err := d.tailRun(ctx, policy, load, seed)
				if err != nil {
					return runs, err
				}
				run.OneWayDelayMillis = oneWayDelay.Seconds() * 1000
				runs = append(runs, run)
				fmt.Fprintf(progress, "tail: delay %.1f ms, load %d %%, seed %d, %-11s p50 %.1f p99 %.1f p99.9 %.1f ms, shed %d, failed %d, max concurrent %d\n",
					run.OneWayDelayMillis, load, seed, policy, run.Latency.P50, run.Latency.P99, run.Latency.P999, run.Shed, run.Failed, run.MaxConcurrent)
			}
		}
	}
	return runs, nil
}

func (d *deployment) tailRun(ctx context.Context, policy dynconfig.Policy, load int, seed uint64) (TailRun, error) {
	run := TailRun{LoadPercent: load, Policy: policy, Seed: seed}
	if _, err := d.apply(ctx, tailConfig(policy)); err != nil {
		return run, err
	}
	if _, err := loadgen.Run(ctx, d.tailLoad(load, seed+100, tailWarmUp)); err != nil {
		return run, err
	}
	if _, err := d.reports(ctx, true); err != nil {
		return run, err
	}
	result, err := loadgen.Run(ctx, d.tailLoad(load, seed, tailLoadDuration))
	if err != nil {
		return run, err
	}
	reports, err := d.reports(ctx, false)
	if err != nil {
		return run, err
	}
	for _, process := range reports {
		for _, u := range process.Upstreams {
			run.MaxConcurrent = max(run.MaxConcurrent, u.Work.MaxConcurrent)
		}
	}
	class := result.Classes[0]
	run.Latency, run.LatenessP99 = class.Latency, result.Lateness.P99
	for outcome, n := range class.Outcomes {
		run.Sent += n
		switch outcome {
		case loadgen.OutcomeOK:
		case loadgen.OutcomeNotRun:
			run.Shed += n
		default:
			run.Failed += n
		}
	}
	return run, nil
}

func (d *deployment) tailLoad(percent int, seed uint64, duration time.Duration) loadgen.Config {
	capacity := float64(sum(tailGroupCounts)*tailSlots) * 1000 / tailServiceMillis
	return loadgen.Config{
		Entries: d.addresses(callerOffset), Rate: capacity * float64(percent) / 100, Seed: seed,
		DurationMillis: int(duration.Milliseconds()), CheckBody: true,
		Classes: []loadgen.Class{{
			Name: "check", Service: "status", Path: "/status/panels/17", TimeoutMillis: int(tailRequestTimeout.Milliseconds()),
		}},
	}
}

func tailConfig(policy dynconfig.Policy) dynconfig.Config {
	return dynconfig.Config{
		Zones: zonesOf(zoneNames),
		Services: []dynconfig.Service{{
			Name: "status", Policy: policy, OverAllowance: 1, QueueLimit: 1024,
			Classes: []dynconfig.Class{{
				Name: "check", Method: "GET", PathPrefix: "/status", Idempotent: true,
				TimeoutMillis: int(tailRequestTimeout.Milliseconds()),
			}},
		}},
	}
}

func tailUpstreams(oneWayDelay time.Duration) []upstreamGroup {
	var groups []upstreamGroup
	for i, zone := range zoneNames {
		groups = append(groups, upstreamGroup{
			service: "status", zone: zone, count: tailGroupCounts[i], slots: tailSlots, seed: i,
			flags: []string{
				"--service-ms", fmt.Sprint(tailServiceMillis), "--one-way-delay-ms", fmt.Sprint(oneWayDelay.Seconds() * 1000),
				"--straggle-factor", straggleFactor, "--straggle-ms", straggleMillis, "--straggle-gap-ms", straggleGapMillis,
			},
		})
	}
	return groups
}
