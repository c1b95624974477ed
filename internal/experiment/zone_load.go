package experiment

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/loadgen"
)

const (
	// zoneLoadPercent is the load in percent of all slots. While a third of the slots is out of service, it is 90 % of the
	// remaining ones.
	zoneLoadPercent = 60
	zoneSlots       = 3
	zoneColdSlots   = 1
	// zoneColdWork is the number of completed requests that end a cold start. It is lower for downloads, which take long.
	zoneColdWork         = 20
	zoneColdWorkDownload = 3
	zoneColdFactor       = 2
	downloadBytes        = 100_000
	downloadBytesPerSec  = 50_000
)

// zoneService is one service of the zone experiment. The services and their sizes are those of the user in
// examples/idrovigile.
type zoneService struct {
	name string
	// counts holds the number of upstreams in each zone.
	counts []int
	// coldWork is the number of completed requests that end a cold start.
	coldWork int
	// workMillis is how long a request occupies a slot, in ms.
	workMillis float64
	class      dynconfig.Class
	flags      []string
	load       loadgen.Class
}

func zoneServices() []zoneService {
	resend := loadgen.Resend{Max: 3, DelayMillis: 100, AttemptTimeoutMillis: 4000, NotRun: true}
	// Downloads have no attempt timeout, because they can take longer than the attempt timeout of the other classes.
	resendDownload := loadgen.Resend{Max: 3, DelayMillis: 100, NotRun: true}
	return []zoneService{
		{
			name: "status", counts: []int{7, 7, 6}, coldWork: zoneColdWork, workMillis: 40,
			class: dynconfig.Class{Name: "check", Method: "GET", PathPrefix: "/status", Idempotent: true, Priority: 10, TimeoutMillis: 5000},
			flags: []string{"--service-ms", "40"},
			load:  loadgen.Class{Name: "check", Service: "status", Path: "/status/panels/17", Resend: resend},
		},
		{
			name: "dispatch", counts: []int{4, 3, 3}, coldWork: zoneColdWork, workMillis: 100,
			class: dynconfig.Class{Name: "callout", Method: "POST", PathPrefix: "/dispatch/callouts", Priority: 100, TimeoutMillis: 5000},
			flags: []string{"--service-ms", "100"},
			load: loadgen.Class{
				Name: "callout", Service: "dispatch", Method: "POST", Path: "/dispatch/callouts", BodyBytes: 64, NonIdempotent: true, Resend: resend,
			},
		},
		{
			name: "archive", counts: []int{2, 2, 2}, coldWork: zoneColdWorkDownload, workMillis: 1000 * downloadBytes / downloadBytesPerSec,
			class: dynconfig.Class{Name: "download", Method: "GET", PathPrefix: "/archive", Idempotent: true, TimeoutMillis: 12000},
			flags: []string{"--response-bytes", fmt.Sprint(downloadBytes), "--stream-bytes-per-s", fmt.Sprint(downloadBytesPerSec)},
			load:  loadgen.Class{Name: "download", Service: "archive", Path: "/archive/logs/17", Resend: resendDownload, TimeoutMillis: 13000},
		},
	}
}

// rate returns the requests per second that occupy zoneLoadPercent of the service's slots.
func (s zoneService) rate() float64 {
	return float64(sum(s.counts)*zoneSlots) * zoneLoadPercent / 100 * 1000 / s.workMillis
}

func zoneSetup() ZoneSetup {
	setup := ZoneSetup{LoadPercent: zoneLoadPercent}
	for _, s := range zoneServices() {
		setup.Upstreams += sum(s.counts)
		setup.Rate += s.rate()
	}
	return setup
}

func zoneConfig() dynconfig.Config {
	config := dynconfig.Config{Zones: zonesOf(zoneNames)}
	for _, s := range zoneServices() {
		config.Services = append(config.Services, dynconfig.Service{
			Name: s.name, Classes: []dynconfig.Class{s.class}, ColdSlots: zoneColdSlots, QueueLimit: 1024,
		})
	}
	return config
}

func zoneUpstreams() []upstreamGroup {
	var groups []upstreamGroup
	for _, s := range zoneServices() {
		for i, zone := range zoneNames {
			flags := append(slices.Clone(s.flags), "--one-way-delay-ms", "0.5", "--cold-slots", fmt.Sprint(zoneColdSlots),
				"--cold-work", fmt.Sprint(s.coldWork), "--cold-factor", fmt.Sprint(zoneColdFactor))
			groups = append(groups, upstreamGroup{service: s.name, zone: zone, count: s.counts[i], slots: zoneSlots, flags: flags})
		}
	}
	return groups
}

// zoneLoad returns a load of zoneLoadPercent of the slots of each service.
func (d *deployment) zoneLoad(duration time.Duration, seed uint64) loadgen.Config {
	config := loadgen.Config{
		Entries: d.addresses(callerOffset), DurationMillis: int(duration.Milliseconds()), Seed: seed, CheckBody: true, RecordKeys: true,
	}
	for _, s := range zoneServices() {
		class := s.load
		class.Weight = s.rate()
		config.Rate += s.rate()
		config.Classes = append(config.Classes, class)
	}
	return config
}

// lastNewRequest returns the time in ms from since to the last new request at any upstream of the stopped zone.
func (d *deployment) lastNewRequest(ctx context.Context, since time.Time) (int64, error) {
	reports, err := d.reports(ctx, false)
	if err != nil {
		return 0, err
	}
	var last int64
	for i, r := range reports {
		if d.standins[i].group.zone != stoppedZone {
			continue
		}
		for _, u := range r.Upstreams {
			last = max(last, u.Work.LastArrivalUnixMS)
		}
	}
	return last - since.UnixMilli(), nil
}

// restartZoneCold simulates a restart of the upstreams of the stopped zone: they get new boot ids and begin a cold start, but
// their processes keep running.
func (d *deployment) restartZoneCold(ctx context.Context) error {
	for _, s := range d.standins {
		if s.group.zone != stoppedZone {
			continue
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.admin+"/upstreams/all/cold?new_boot_id=true", nil)
		if err != nil {
			return errors.Wrap(err, "create admin request")
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return errors.Wrap(err, "send admin request")
		}
		response.Body.Close()
		if response.StatusCode != http.StatusNoContent {
			return errors.Errorf("cold restart of upstreams at %s: got status %d, want %d", s.admin, response.StatusCode, http.StatusNoContent)
		}
	}
	return nil
}

// recordColdOverload records the most by which the concurrent requests at an upstream of the stopped zone exceeded its
// concurrency limit in cold start.
func (d *deployment) recordColdOverload(ctx context.Context, run *ZoneRun) error {
	reports, err := d.reports(ctx, false)
	if err != nil {
		return err
	}
	for i, r := range reports {
		if d.standins[i].group.zone != stoppedZone {
			continue
		}
		for _, u := range r.Upstreams {
			run.MaxOverColdLimit = max(run.MaxOverColdLimit, u.Work.MaxOverColdLimit)
		}
	}
	return nil
}

// medianP99 returns the median p99, in ms, of the steps from begin (inclusive) to end (exclusive), or 0 if no step has
// one.
func medianP99(steps []loadgen.Step, begin, end time.Duration) float64 {
	var values []float64
	for _, s := range steps {
		at := time.Duration(s.AtMillis) * time.Millisecond
		if at >= begin && at < end && s.P99 > 0 {
			values = append(values, s.P99)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
