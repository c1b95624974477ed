package process_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/internal/localdeploy"
	"github.com/bramleypick/bramleypick/internal/opclient"
)

const (
	// waitTimeout bounds every wait for a condition. It is far above what a busy machine needs.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond

	controlReplicas = 3
	portsPerVM      = 3
	operatorPort    = 1 // offset of the operator listener in the ports of a VM
)

var zones = []string{"jackson", "mobile", "shreveport"}

// deployment is a group of entry VMs, and test upstreams, on loopback addresses. VM i is in zone i modulo 3, and the first
// three hold control replicas.
type deployment struct {
	t        *testing.T
	dir      string
	base     int // first port of the VMs
	nextPort int // first port that no process uses
	vms      []*child
	fleets   []*fleet
	token    string
	operator *opclient.Client
}

// deploy starts entry VMs and puts a configuration in force.
func deploy(t *testing.T, vms int, config dynconfig.Config) *deployment {
	t.Helper()
	base := reservePorts(t)
	d := &deployment{t: t, dir: t.TempDir(), base: base, nextPort: base + vms*portsPerVM}
	files, err := localdeploy.Write(localdeploy.Plan{
		Dir: d.dir, Zones: zones, VMs: vms, ControlReplicas: controlReplicas, BasePort: base,
	})
	d.must(err)
	for _, file := range files[:controlReplicas] {
		if out, err := exec.Command(programs.bramleypick, "bootstrap", "--settings", file).CombinedOutput(); err != nil {
			t.Fatalf("bootstrap: %v\n%s", err, out)
		}
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		d.vms = append(d.vms, startChild(t, name, filepath.Join(d.dir, name+".log"), programs.bramleypick, "run", "--settings", file))
	}
	t.Cleanup(d.printLogs)
	token, err := os.ReadFile(filepath.Join(d.dir, "operator.token"))
	d.must(err)
	d.token = strings.TrimSpace(string(token))
	d.operator = opclient.New(d.addresses(operatorPort), d.token)
	d.waitSessions(vms)
	version := d.apply(config, "first")
	d.waitStatus("the configuration is in force", func(r controlproto.Report) bool { return r.InForce >= version })
	return d
}

func (d *deployment) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) printLogs() {
	if !d.t.Failed() {
		return
	}
	for _, vm := range d.vms {
		d.t.Logf("end of the log of %s:\n%s", vm.name, vm.logTail())
	}
}

func (d *deployment) address(vm, offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.base+vm*portsPerVM+offset)
}

func (d *deployment) addresses(offset int) []string {
	all := make([]string, len(d.vms))
	for i := range all {
		all[i] = d.address(i, offset)
	}
	return all
}

// vm returns the index of a VM by its name in reports.
func (d *deployment) vm(name string) int {
	return slices.IndexFunc(d.vms, func(c *child) bool { return c.name == name })
}

// wait polls until the condition holds.
func (d *deployment) wait(what string, holds func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			d.t.Fatalf("did not happen within %v: %s", waitTimeout, what)
		}
	}
}

// waitStatus polls the leader's report until the condition holds, and returns that report.
func (d *deployment) waitStatus(what string, holds func(controlproto.Report) bool) controlproto.Report {
	d.t.Helper()
	var report controlproto.Report
	d.wait(what, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		var err error
		report, err = d.operator.Status(ctx)
		return err == nil && holds(report)
	})
	return report
}

// waitSessions waits until so many gateways have a session that is not leaving.
func (d *deployment) waitSessions(n int) {
	d.t.Helper()
	d.waitStatus(fmt.Sprintf("%d gateways have a session", n), func(r controlproto.Report) bool {
		present := 0
		for _, g := range r.Gateways {
			if !g.Leaving && g.SinceRenewalMillis >= 0 {
				present++
			}
		}
		return present == n && len(r.Gateways) == n
	})
}

// waitOwned waits until all upstreams have an owner and none is being handed over.
func (d *deployment) waitOwned() controlproto.Report {
	d.t.Helper()
	want := 0
	for _, f := range d.fleets {
		want += f.count
	}
	return d.waitStatus(fmt.Sprintf("%d upstreams have owners", want), func(r controlproto.Report) bool {
		for _, u := range r.Upstreams {
			if u.Owner == "" || u.Moving != "" {
				return false
			}
		}
		return len(r.Upstreams) == want
	})
}

// apply submits a configuration until it is accepted, with one change id, and returns its version.
func (d *deployment) apply(config dynconfig.Config, changeID string) uint64 {
	d.t.Helper()
	data, err := dynconfig.Canonical(config)
	d.must(err)
	base := d.waitStatus("a leader reports", func(controlproto.Report) bool { return true }).ConfigVersion
	var accepted api.Accepted
	d.wait("change "+changeID+" is accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		accepted, err = d.operator.Apply(ctx, api.ConfigChange{BaseVersion: &base, ChangeID: changeID, Config: data})
		if refusal, ok := err.(*api.Refusal); ok && !refusal.Retryable() {
			d.t.Fatalf("change %s: %v", changeID, err)
		}
		return err == nil
	})
	return accepted.ConfigVersion
}
