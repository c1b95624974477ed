package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/internal/loadgen"
	"github.com/bramleypick/bramleypick/internal/localdeploy"
	"github.com/bramleypick/bramleypick/internal/verify"
)

const (
	// rollingLoadDuration is long enough for every VM to stop gracefully and return.
	rollingLoadDuration = 32 * time.Second
	// rollingLoadFactor is the load relative to that of the zone experiment. It results in 30 % of all slots.
	rollingLoadFactor = 0.5
)

// RollingRun is the result of Rolling.
type RollingRun struct {
	Restarted int `json:"restarted"`
	// Completed reports whether all VMs were restarted before the load ended.
	Completed bool                  `json:"completed"`
	Verdict   verify.Verdict        `json:"verdict"`
	Classes   []loadgen.ClassResult `json:"classes"`
}

// Rolling gracefully restarts every entry VM, one after another, under load.
func Rolling(ctx context.Context, programs Programs, dir string, basePort int, progress io.Writer) (RollingRun, error) {
	run := RollingRun{}
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
	if err := d.waitOwned(ctx, zoneSetup().Upstreams); err != nil {
		return run, err
	}
	restarted := make(chan error, 1)
	go func() { restarted <- d.restartAll(ctx, &run) }()
	load := d.zoneLoad(rollingLoadDuration, 3)
	load.Rate *= rollingLoadFactor
	for i := range load.Classes {
		// A graceful restart must not depend on callers resending requests.
		load.Classes[i].Resend = loadgen.Resend{}
	}
	result, err := loadgen.Run(ctx, load)
	if restartErr := <-restarted; restartErr != nil {
		return run, restartErr
	}
	if err != nil {
		return run, err
	}
	executions, err := d.executions(ctx)
	if err != nil {
		return run, err
	}
	run.Verdict, run.Classes = verify.Compare(result, executions), result.Classes
	fmt.Fprintf(progress, "rolling restart: %d VMs, completed %v; ", run.Restarted, run.Completed)
	return run, run.Verdict.WriteText(progress)
}

func (d *deployment) restartAll(ctx context.Context, run *RollingRun) error {
	deadline := time.Now().Add(rollingLoadDuration)
	for _, p := range d.vms {
		if err := p.Stop(stopTimeout); err != nil {
			return err
		}
		if err := p.Restart(); err != nil {
			return err
		}
		err := d.waitForStatus(ctx, p.Name+" has a session after its restart", func(r controlproto.Report) bool {
			for _, g := range r.Gateways {
				if g.Name == p.Name && !g.Leaving {
					return true
				}
			}
			return false
		})
		if err != nil {
			return err
		}
		run.Restarted++
	}
	run.Completed = time.Now().Before(deadline)
	return nil
}
