package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/localdeploy"
)

// costWindow is the duration of the measurement for each size.
const costWindow = 4 * time.Second

// costSizes are the numbers of gateways and upstreams to measure: each number grows alone, then both grow together.
var costSizes = []struct{ gateways, upstreams int }{{3, 12}, {3, 39}, {12, 12}, {12, 39}}

// CostRun is the cost of probing upstreams and of the control group without any caller requests, when only probes report
// the load.
type CostRun struct {
	Gateways  int `json:"gateways"`
	Upstreams int `json:"upstreams"`
	// ProbesPerUpstream is the rate of probes from all gateways to one upstream, in probes/s, as counted by the
	// upstreams.
	ProbesPerUpstream float64 `json:"probes_per_s_and_upstream"`
	// BytesPerUpstream is the rate of probe bytes read and written for one upstream, in B/s, as counted by the gateways.
	BytesPerUpstream float64 `json:"probe_bytes_per_s_and_upstream"`
	// GatewayCPUPercent is the mean CPU usage of a VM without a control replica, in percent of a core.
	GatewayCPUPercent float64 `json:"gateway_cpu_percent"`
	// ControlCPUPercent is the mean CPU usage of a VM with a control replica, in percent of a core.
	ControlCPUPercent float64 `json:"control_cpu_percent"`
	// GatewayMegabytes and ControlMegabytes are the mean resident memory of the same two kinds of VM, in MB.
	GatewayMegabytes float64 `json:"gateway_mb"`
	ControlMegabytes float64 `json:"control_mb"`
}

// Cost measures the cost of probing for each of costSizes.
func Cost(ctx context.Context, programs Programs, dir string, basePort int, progress io.Writer) ([]CostRun, error) {
	var runs []CostRun
	for i, size := range costSizes {
		run, err := costRun(ctx, programs, fmt.Sprintf("%s/cost%d", dir, i), basePort, size.gateways, size.upstreams)
		if err != nil {
			return runs, err
		}
		runs = append(runs, run)
		fmt.Fprintf(progress, "cost: %2d gateways, %2d upstreams: %.2f probes/s and %.0f B/s per upstream; gateway %.1f %% of a core, %.0f MB; with control replica %.1f %%, %.0f MB\n",
			run.Gateways, run.Upstreams, run.ProbesPerUpstream, run.BytesPerUpstream,
			run.GatewayCPUPercent, run.GatewayMegabytes, run.ControlCPUPercent, run.ControlMegabytes)
	}
	return runs, nil
}

// costRun measures one size. With three gateways the control group has a single replica, so that every size has VMs
// without a replica.
func costRun(ctx context.Context, programs Programs, dir string, basePort, gateways, upstreams int) (CostRun, error) {
	run := CostRun{Gateways: gateways, Upstreams: upstreams}
	control := 3
	if gateways <= control {
		control = 1
	}
	d, err := newDeployment(ctx, programs, localdeploy.Plan{Dir: dir, Zones: zoneNames, VMs: gateways, ControlReplicas: control, BasePort: basePort})
	if err != nil {
		return run, err
	}
	defer d.close()
	config := tailConfig(dynconfig.PolicyOwner)
	config.Services[0].GatewaysPerZone = gateways / len(zoneNames)
	if _, err := d.apply(ctx, config); err != nil {
		return run, err
	}
	var groups []upstreamGroup
	for _, zone := range zoneNames {
		groups = append(groups, upstreamGroup{service: "status", zone: zone, count: upstreams / len(zoneNames), slots: tailSlots})
	}
	if err := d.startUpstreams(groups); err != nil {
		return run, err
	}
	if err := d.waitOwned(ctx, upstreams); err != nil {
		return run, err
	}
	return run, d.measureCost(ctx, &run)
}

func (d *deployment) measureCost(ctx context.Context, run *CostRun) error {
	before, err := d.readCostCounters(ctx)
	if err != nil {
		return err
	}
	time.Sleep(costWindow)
	after, err := d.readCostCounters(ctx)
	if err != nil {
		return err
	}
	perUpstream := costWindow.Seconds() * float64(run.Upstreams)
	run.ProbesPerUpstream = float64(after.probes-before.probes) / perUpstream
	run.BytesPerUpstream = (after.bytes - before.bytes) / perUpstream
	for i := range d.vms {
		percent := 100 * (after.usages[i].CPU - before.usages[i].CPU).Seconds() / costWindow.Seconds()
		megabytes := float64(after.usages[i].RSS) / 1e6
		if i < d.plan.ControlReplicas {
			run.ControlCPUPercent += percent / float64(d.plan.ControlReplicas)
			run.ControlMegabytes += megabytes / float64(d.plan.ControlReplicas)
		} else {
			run.GatewayCPUPercent += percent / float64(d.plan.VMs-d.plan.ControlReplicas)
			run.GatewayMegabytes += megabytes / float64(d.plan.VMs-d.plan.ControlReplicas)
		}
	}
	return nil
}

// costCounters holds cumulative counters. The cost of a time window is the difference between its end and its start.
type costCounters struct {
	probes int
	bytes  float64
	usages []localdeploy.Usage
}

func (d *deployment) readCostCounters(ctx context.Context) (costCounters, error) {
	var counters costCounters
	reports, err := d.reports(ctx, false)
	if err != nil {
		return counters, err
	}
	for _, r := range reports {
		for _, u := range r.Upstreams {
			counters.probes += u.Work.HealthRequests
		}
	}
	for _, p := range d.vms {
		u, err := p.Usage()
		if err != nil {
			return counters, err
		}
		counters.usages = append(counters.usages, u)
	}
	for i := range d.vms {
		data, err := d.operatorOf(i).Metrics(ctx)
		if err != nil {
			return counters, err
		}
		bytes, err := sumOfCounters(data, "probe_bytes")
		if err != nil {
			return counters, err
		}
		counters.bytes += bytes
	}
	return counters, nil
}

// sumOfCounters returns the sum of the counters whose name ends in suffix. data is the JSON of a metrics endpoint.
func sumOfCounters(data []byte, suffix string) (float64, error) {
	var values map[string]map[string]any
	if err := json.Unmarshal(data, &values); err != nil {
		return 0, err
	}
	total := 0.0
	for name, fields := range values {
		if count, ok := fields["count"].(float64); ok && strings.HasSuffix(name, suffix) {
			total += count
		}
	}
	return total, nil
}
