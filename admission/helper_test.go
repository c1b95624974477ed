package admission

import (
	"testing"
	"time"
)

// bench drives a scheduler with a time of its own.
type bench struct {
	t        *testing.T
	s        *Scheduler
	now      time.Time
	running  map[string][]Assignment
	rejected map[string]Reason
	served   []string
	probes   []Probe
}

func newBench(t *testing.T, cfg Config, ups ...Upstream) *bench {
	b := &bench{t: t, s: New(cfg), now: time.Unix(1_000_000, 0), running: map[string][]Assignment{}, rejected: map[string]Reason{}}
	b.set(ups...)
	return b
}

func testConfig() Config {
	return Config{QueueLimit: 100, ColdSlots: 1, ProbesPerSecond: 1, ProbeBytesPerSecond: 1024}
}

func owned(id string) Upstream {
	return Upstream{ID: id, BootID: "boot-1", Epoch: 1, Slots: 3, Owned: true}
}

func (b *bench) set(ups ...Upstream) {
	b.s.SetUpstreams(ups, b.now)
	b.poll()
}

func (b *bench) poll() {
	actions := b.s.Poll(b.now)
	for _, d := range actions.Dispatches {
		id := d.Assignment.UpstreamID
		b.running[id] = append(b.running[id], d.Assignment)
		b.served = append(b.served, d.Request.Value.(string))
	}
	for _, r := range actions.Rejections {
		b.rejected[r.Request.Value.(string)] = r.Reason
	}
	b.probes = append(b.probes, actions.Probes...)
}

func (b *bench) enqueue(r Request) {
	if r.Value == nil {
		r.Value = ""
	}
	b.s.Enqueue(&r, b.now)
	b.poll()
}

func (b *bench) fill(n int) {
	for range n {
		b.enqueue(Request{Class: "c", Idempotent: true})
	}
}

// end ends the oldest request on an upstream and returns false if none runs.
func (b *bench) end(id string, o Outcome) bool {
	if len(b.running[id]) == 0 {
		return false
	}
	a := b.running[id][0]
	b.running[id] = b.running[id][1:]
	b.s.Done(a, o, b.now)
	b.poll()
	return true
}

// work completes n requests on an upstream, keeping the queue filled.
func (b *bench) work(id string, n int) {
	for range n {
		b.fill(max(0, 20-b.s.Queued()))
		if !b.end(id, Outcome{Result: Succeeded, Latency: 4 * time.Millisecond}) {
			b.t.Fatalf("upstream %s runs nothing", id)
		}
	}
	b.fill(max(0, 20-b.s.Queued()))
}

// answerProbes ends every open probe with a report.
func (b *bench) answerProbes(r Report) {
	open := b.probes
	b.probes = nil
	for _, p := range open {
		b.s.ProbeDone(p, ProbeResult{OK: true, Report: r, Bytes: 300}, b.now)
	}
	b.poll()
}

func (b *bench) wait(d time.Duration) {
	b.now = b.now.Add(d)
	b.poll()
}
