package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/localdeploy"
	"github.com/bramleypick/bramleypick/internal/standin"
)

// adminTimeout bounds a request to the admin address of a test upstream process.
const adminTimeout = 10 * time.Second

// upstreamGroup describes identical upstreams of one service in one zone, which run in one process.
type upstreamGroup struct {
	service, zone string
	count, slots  int
	seed          int
	// flags are additional command-line flags of the standin command.
	flags []string
}

// standinProcess is a running process of test upstreams.
type standinProcess struct {
	group   upstreamGroup
	process *localdeploy.Process
	admin   string
}

// startUpstreams starts one process for each group.
func (d *deployment) startUpstreams(groups []upstreamGroup) (err error) {
	for _, g := range groups {
		listen := fmt.Sprintf("127.0.0.1:%d", d.nextPort)
		admin := fmt.Sprintf("127.0.0.1:%d", d.nextPort+g.count)
		d.nextPort += g.count + 1
		args := []string{
			d.programs.Standin, "--service", g.service, "--zone", g.zone, "--count", strconv.Itoa(g.count),
			"--slots", strconv.Itoa(g.slots), "--listen", listen, "--admin", admin, "--seed", strconv.Itoa(g.seed + 1000*len(d.standins)),
		}
		for i := range d.vms {
			// The list starts with a different entry VM for each process, to spread the announcements over the VMs.
			args = append(args, "--entry", d.addresses(callerOffset)[(i+len(d.standins))%len(d.vms)])
		}
		if d.proxied {
			if args, err = d.addProxies(args, listen, g.count); err != nil {
				return err
			}
		}
		name := "standin-" + g.service + "-" + g.zone
		p, err := localdeploy.StartProcess(name, filepath.Join(d.plan.Dir, name+".log"), append(args, g.flags...)...)
		if err != nil {
			return err
		}
		d.standins = append(d.standins, &standinProcess{group: g, process: p, admin: admin})
	}
	return nil
}

// reports returns the reports of all upstreams, one per process, and resets their counters if reset is set.
func (d *deployment) reports(ctx context.Context, reset bool) ([]standin.ProcessReport, error) {
	reports := make([]standin.ProcessReport, len(d.standins))
	for i, s := range d.standins {
		if err := getJSON(ctx, fmt.Sprintf("http://%s/report?reset=%v", s.admin, reset), &reports[i]); err != nil {
			return nil, err
		}
	}
	return reports, nil
}

// executions returns how often each request was executed, one element per process.
func (d *deployment) executions(ctx context.Context) ([]standin.Executions, error) {
	all := make([]standin.Executions, len(d.standins))
	for i, s := range d.standins {
		if err := getJSON(ctx, "http://"+s.admin+"/executions?least=1", &all[i]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func getJSON(ctx context.Context, url string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "create admin request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send admin request")
	}
	defer response.Body.Close()
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(value), "decode response of %s", url)
}
