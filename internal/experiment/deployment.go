package experiment

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/internal/localdeploy"
	"github.com/bramleypick/bramleypick/internal/opclient"
)

const (
	pollInterval = 20 * time.Millisecond
	readyTimeout = 30 * time.Second
	stopTimeout  = 20 * time.Second

	// Each VM has portsPerVM consecutive ports, see localdeploy.Plan. The offsets are those of its caller port and its
	// operator port.
	callerOffset   = 0
	operatorOffset = 1
	portsPerVM     = 3
)

// Programs holds the paths of the binaries under test.
type Programs struct {
	Bramleypick string
	Standin     string
}

// deployment is a local deployment of entry VMs and test upstreams.
type deployment struct {
	programs Programs
	plan     localdeploy.Plan
	vms      []*localdeploy.Process
	standins []*standinProcess
	operator *opclient.Client
	token    string
	nextPort int
	// proxied places a fault proxy in front of each upstream that is started while it is set.
	proxied bool
	proxies []*faultProxy
}

// newDeployment writes the files of a deployment, starts the VMs and waits until each of them has a session.
func newDeployment(ctx context.Context, programs Programs, plan localdeploy.Plan) (*deployment, error) {
	files, err := localdeploy.Write(plan)
	if err != nil {
		return nil, err
	}
	d := &deployment{programs: programs, plan: plan, nextPort: plan.BasePort + portsPerVM*plan.VMs}
	if err := d.startVMs(files); err != nil {
		d.close()
		return nil, err
	}
	token, err := os.ReadFile(filepath.Join(plan.Dir, "operator.token"))
	if err != nil {
		d.close()
		return nil, errors.Wrap(err, "read operator token")
	}
	d.token = strings.TrimSpace(string(token))
	d.operator = opclient.New(d.addresses(operatorOffset), d.token)
	err = d.waitForStatus(ctx, "all VMs have a session", func(r controlproto.Report) bool { return len(r.Gateways) == plan.VMs })
	if err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) startVMs(files []string) error {
	for i, file := range files {
		if i < d.plan.ControlReplicas {
			if out, err := exec.Command(d.programs.Bramleypick, "bootstrap", "--settings", file).CombinedOutput(); err != nil {
				return errors.Wrapf(err, "bootstrap with %s: %s", file, bytes.TrimSpace(out))
			}
		}
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		p, err := localdeploy.StartProcess(name, strings.TrimSuffix(file, ".json")+".log", d.programs.Bramleypick, "run", "--settings", file)
		if err != nil {
			return err
		}
		d.vms = append(d.vms, p)
	}
	return nil
}

// addresses returns the address of each VM at the given port offset.
func (d *deployment) addresses(offset int) []string {
	addresses := make([]string, d.plan.VMs)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.0.0.1:%d", d.plan.BasePort+portsPerVM*i+offset)
	}
	return addresses
}

// close kills every process. It reports no errors: an experiment that needs a graceful stop checks it itself.
func (d *deployment) close() {
	for _, p := range d.proxies {
		p.close()
	}
	for _, s := range d.standins {
		s.process.Kill()
	}
	for _, p := range d.vms {
		p.Kill()
	}
}

// apply submits a configuration and waits until it is in force everywhere. It returns the accepted version.
func (d *deployment) apply(ctx context.Context, config dynconfig.Config) (uint64, error) {
	data, err := dynconfig.Canonical(config)
	if err != nil {
		return 0, err
	}
	current, err := d.operator.Status(ctx)
	if err != nil {
		return 0, err
	}
	accepted, err := d.operator.Apply(ctx, api.ConfigChange{BaseVersion: &current.ConfigVersion, Config: data})
	if err != nil {
		return 0, err
	}
	return accepted.ConfigVersion, d.waitInForce(ctx, accepted.ConfigVersion)
}

func (d *deployment) waitInForce(ctx context.Context, version uint64) error {
	return d.waitForStatus(ctx, fmt.Sprintf("version %d is in force", version), func(r controlproto.Report) bool { return r.InForce >= version })
}

// waitOwned waits until exactly the given number of upstreams are registered, all have owners, and none is being handed
// over.
func (d *deployment) waitOwned(ctx context.Context, upstreams int) error {
	return d.waitForStatus(ctx, fmt.Sprintf("%d upstreams have owners", upstreams), func(r controlproto.Report) bool {
		owned := 0
		for _, u := range r.Upstreams {
			if u.Owner != "" && u.MovingTo == "" {
				owned++
			}
		}
		return owned == upstreams && len(r.Upstreams) == upstreams
	})
}

// waitForStatus polls the status report until ok returns true for it. what names the condition in the error.
func (d *deployment) waitForStatus(ctx context.Context, what string, ok func(controlproto.Report) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if report, err := d.operator.Status(ctx); err == nil && ok(report) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("timed out waiting for: %s", what)
		case <-time.After(pollInterval):
		}
	}
}

// operatorOf returns an operator client that uses only VM i.
func (d *deployment) operatorOf(i int) *opclient.Client {
	return opclient.New(d.addresses(operatorOffset)[i:i+1], d.token)
}

// vm returns the process of the VM with the given name in status reports, or nil if there is none.
func (d *deployment) vm(name string) *localdeploy.Process {
	for _, p := range d.vms {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// leader returns the process of the VM that leads the control group.
func (d *deployment) leader(ctx context.Context) (*localdeploy.Process, error) {
	report, err := d.operator.Status(ctx)
	if err != nil {
		return nil, err
	}
	return d.vm(report.Leader), nil
}
