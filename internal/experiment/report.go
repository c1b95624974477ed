package experiment

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/bramleypick/bramleypick/dynconfig"
)

// Report holds the results of the experiments.
type Report struct {
	// Runs holds, by experiment, when, where and on which source revision it ran.
	Runs    map[string]RunInfo `json:"runs"`
	Tail    []TailRun          `json:"tail,omitempty"`
	Zone    []ZoneRun          `json:"zone,omitempty"`
	Cost    []CostRun          `json:"cost,omitempty"`
	Changes *ChangesRun        `json:"changes,omitempty"`
	Rolling *RollingRun        `json:"rolling,omitempty"`
	// Missing holds, by experiment, the reason why one failed or was interrupted.
	Missing map[string]string `json:"missing,omitempty"`
}

// RunInfo describes the run that produced a result.
type RunInfo struct {
	Revision string `json:"revision"`
	Machine  string `json:"machine"`
	Date     string `json:"date"`
}

// SetTail replaces the runs that have the given one-way delay.
func (r *Report) SetTail(oneWayDelay time.Duration, runs []TailRun) {
	r.Tail = slices.DeleteFunc(r.Tail, func(t TailRun) bool { return t.OneWayDelayMillis == oneWayDelay.Seconds()*1000 })
	r.Tail = append(r.Tail, runs...)
	slices.SortStableFunc(r.Tail, func(a, b TailRun) int { return cmp.Compare(a.OneWayDelayMillis, b.OneWayDelayMillis) })
}

// WriteMarkdown writes the report in the form of docs/measurements.md.
func (r Report) WriteMarkdown(w io.Writer) error {
	p := &printer{w: w}
	p.line("# Measurements")
	p.line("")
	p.line("Written by `scripts/measure`. All processes ran on one machine over loopback; delays between zones are simulated in the test")
	p.line("upstreams. The full data is in measurements.json. `scripts/measure --only NAME` runs one experiment and keeps the results of the others.")
	p.line("")
	p.line("| experiment | date | revision | machine |")
	p.line("|---|---|---|---|")
	for _, name := range slices.Sorted(maps.Keys(r.Runs)) {
		p.line("| %s | %s | %s | %s |", name, r.Runs[name].Date, r.Runs[name].Revision, r.Runs[name].Machine)
	}
	r.tailTable(p)
	r.zoneTable(p)
	r.costTable(p)
	r.otherTables(p)
	for _, name := range slices.Sorted(maps.Keys(r.Missing)) {
		p.line("")
		p.line("Not measured: %s: %s", name, r.Missing[name])
	}
	return p.err
}

// printer writes lines to w. After the first error it writes nothing more, and err is that error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (r Report) tailTable(p *printer) {
	if len(r.Tail) == 0 {
		return
	}
	p.line("")
	p.line("## Tail latency")
	p.line("")
	p.line("20 upstreams with %d slots in three zones, %d ms of work, stragglers (%s times slower for %s ms, every %s ms on average), idempotent",
		tailSlots, tailServiceMillis, straggleFactor, straggleMillis, straggleGapMillis)
	p.line("requests. Latencies are in ms from the intended send time: the median over the seeds, with the lowest and highest in parentheses.")
	p.line("Shed and failed are sums over the seeds. Max concurrent is the highest number of concurrent requests at any upstream.")
	p.line("")
	p.line("![tail latency](tail.svg)")
	p.line("")
	p.line("| one-way delay | load | policy | p50 | p99 | p99.9 | sent | shed | failed | max concurrent |")
	p.line("|---|---|---|---|---|---|---|---|---|---|")
	for _, key := range tailKeys(r.Tail) {
		runs := tailRuns(r.Tail, key)
		total := TailRun{}
		for _, run := range runs {
			total.Sent += run.Sent
			total.Shed += run.Shed
			total.Failed += run.Failed
			total.MaxConcurrent = max(total.MaxConcurrent, run.MaxConcurrent)
		}
		p.line("| %.1f ms | %d %% | %s | %s | %s | %s | %d | %d | %d | %d |", key.delay, key.load, key.policy,
			medianAndRange(runs, func(t TailRun) float64 { return t.Latency.P50 }),
			medianAndRange(runs, func(t TailRun) float64 { return t.Latency.P99 }),
			medianAndRange(runs, func(t TailRun) float64 { return t.Latency.P999 }),
			total.Sent, total.Shed, total.Failed, total.MaxConcurrent)
	}
}

// tailKey identifies a row of the tail latency table. The runs of a row differ only in their seed.
type tailKey struct {
	delay  float64
	load   int
	policy dynconfig.Policy
}

func tailKeys(runs []TailRun) []tailKey {
	var keys []tailKey
	for _, r := range runs {
		key := tailKey{r.OneWayDelayMillis, r.LoadPercent, r.Policy}
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

func tailRuns(runs []TailRun, key tailKey) []TailRun {
	var found []TailRun
	for _, r := range runs {
		if (tailKey{r.OneWayDelayMillis, r.LoadPercent, r.Policy}) == key {
			found = append(found, r)
		}
	}
	return found
}

// medianAndRange formats the median of the values with the lowest and the highest.
func medianAndRange(runs []TailRun, value func(TailRun) float64) string {
	values := sortedValues(runs, value)
	return fmt.Sprintf("%.1f (%.1f to %.1f)", values[len(values)/2], values[0], values[len(values)-1])
}

func sortedValues(runs []TailRun, value func(TailRun) float64) []float64 {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = value(r)
	}
	slices.Sort(values)
	return values
}

func (r Report) zoneTable(p *printer) {
	if len(r.Zone) == 0 {
		return
	}
	setup := r.Zone[0].Setup
	p.line("")
	p.line("## Planned stop and return of a zone")
	p.line("")
	p.line("%d upstreams of three services in three zones, %.0f requests/s, which occupy %d %% of all slots: status checks, callouts with", setup.Upstreams, setup.Rate, setup.LoadPercent)
	p.line("idempotency keys, and downloads of 2 s. One zone is stopped after %v. Its upstreams restart cold, and the zone returns after %v.", zoneStopAt, zoneReturnAt)
	p.line("Times are in ms from the acceptance of the stop or the return. Not run and uncertain count final outcomes for the callers after up to three")
	p.line("resends. Duplicated and lost count idempotency keys. p99 is the median p99 of 100 ms steps before, during and after the stop. Over cold limit:")
	p.line("most concurrent requests at an upstream in cold start above its limit at that moment (%d right after its start, rising with completed work).", zoneColdSlots)
	p.line("Stopped is -1 if the stop was not complete before the return: requests of a lost gateway may run until the longest class timeout (12 s) expires.")
	p.line("")
	p.line("![planned stop of a zone](zone.svg)")
	p.line("")
	p.line("| fault | last new request | in force | stopped | share restored | sent | not run | uncertain | duplicated | lost | false not run | p99 before / during / after | over cold limit |")
	p.line("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, z := range r.Zone {
		v := z.Verdict
		p.line("| %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %.1f / %.1f / %.1f | %d |", z.Variant, z.LastNewRequestMillis, z.InForceMillis,
			z.StoppedMillis, z.ShareRestoredMillis, v.Sent, v.NotRun, v.Uncertain, v.Duplicated, v.Lost, v.FalseNotRun, z.P99["before"], z.P99["during"], z.P99["after"], z.MaxOverColdLimit)
	}
}

func (r Report) costTable(p *printer) {
	if len(r.Cost) == 0 {
		return
	}
	p.line("")
	p.line("## Cost of probing upstreams")
	p.line("")
	p.line("Without caller requests, when only probes report the load. Probes are counted by the upstreams, bytes by the gateways.")
	p.line("")
	p.line("| gateways | upstreams | probes/s per upstream | bytes/s per upstream | gateway: % of a core, MB | with control replica: % of a core, MB |")
	p.line("|---|---|---|---|---|---|")
	for _, c := range r.Cost {
		p.line("| %d | %d | %.2f | %.0f | %.1f, %.0f | %.1f, %.0f |", c.Gateways, c.Upstreams, c.ProbesPerUpstream, c.BytesPerUpstream,
			c.GatewayCPUPercent, c.GatewayMegabytes, c.ControlCPUPercent, c.ControlMegabytes)
	}
}

func (r Report) otherTables(p *printer) {
	if c := r.Changes; c != nil {
		p.line("")
		p.line("## Configuration changes")
		p.line("")
		p.line("%d changes with 6 VMs, one of which was killed and restarted every %d changes (%d kills, including the leader). A change whose response was lost", c.Changes, changesPerKill, c.Kills)
		p.line("was resent with its change id. No gateway may confirm a lower version than before; %d did.", c.Reverted)
		p.line("")
		p.line("| | p50 ms | p99 ms | max ms |")
		p.line("|---|---|---|---|")
		p.line("| until accepted | %.0f | %.0f | %.0f |", c.Accepted.P50, c.Accepted.P99, c.Accepted.Max)
		p.line("| from accepted to in force everywhere | %.0f | %.0f | %.0f |", c.InForce.P50, c.InForce.P99, c.InForce.Max)
	}
	if c := r.Rolling; c != nil {
		p.line("")
		p.line("## Rolling restart")
		p.line("")
		p.line("%d of 6 entry VMs were restarted gracefully, one after another, under load and without resends by the callers (completed: %v): %d requests sent,",
			c.Restarted, c.Completed, c.Verdict.Sent)
		p.line("%d answered, %d refused as not run, %d uncertain, %d duplicated, %d lost.", c.Verdict.Answered, c.Verdict.NotRun, c.Verdict.Uncertain, c.Verdict.Duplicated, c.Verdict.Lost)
	}
}
