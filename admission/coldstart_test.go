package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// warmUp is how many completions lift an upstream of 3 slots from 1 to 3, and fullWarm how many make it warm.
const (
	warmUp   = rampCompletions * (1 + 2)
	fullWarm = rampCompletions * (1 + 2 + 3)
)

// Guards against an upstream in cold start, or one that may still run requests of a former owner, getting more than it
// can handle.
func TestInvariantColdStart(t *testing.T) {
	failed := Outcome{Result: Failed}
	slow := Outcome{Result: Succeeded, Latency: 100 * time.Millisecond}
	report := func(r Report) Outcome {
		return Outcome{Result: Succeeded, Latency: 4 * time.Millisecond, Report: r}
	}
	again := func(change func(*Upstream)) func(*bench) {
		return func(b *bench) {
			u := owned("u")
			change(&u)
			b.set(u)
		}
	}
	loseAndRegain := func(change func(*Upstream)) func(*bench) {
		return func(b *bench) {
			again(func(u *Upstream) { u.Owned = false })(b)
			again(func(u *Upstream) { u.Owned, u.Epoch = false, 2; change(u) })(b)
			again(func(u *Upstream) { u.Epoch = 3; change(u) })(b)
		}
	}
	rows := []struct {
		description string
		warm        bool
		fault       func(*bench)
		most        int // The most that may be in flight after the fault, as long as nothing completes.
	}{
		{"first sight of an upstream", false, func(*bench) {}, 1},
		{"time alone does not raise the limit", false, func(b *bench) { b.wait(time.Hour) }, 1},
		{"failures do not raise the limit", false, func(b *bench) {
			for range 40 {
				b.end("u", failed)
			}
		}, 1},
		{"failures between successes do not count as work", false, func(b *bench) {
			for range rampCompletions - 1 {
				b.end("u", failed)
				b.end("u", failed)
				b.work("u", 1)
			}
		}, 1},
		{"completed work does", false, func(b *bench) { b.work("u", warmUp) }, 3},
		{"a part of it raises the limit by one", false, func(b *bench) { b.work("u", rampCompletions) }, 2},
		{"new boot id in the view", true, again(func(u *Upstream) { u.BootID = "boot-2" }), 1},
		{"new boot id in a response", true, func(b *bench) { b.end("u", report(Report{BootID: "boot-2"})) }, 1},
		{"return from a planned stop", true, func(b *bench) {
			again(func(u *Upstream) { u.Stopping = true })(b)
			b.wait(time.Minute)
			again(func(*Upstream) {})(b)
			b.end("u", report(Report{BootID: "boot-1", HasCold: true}))
		}, 1},
		{"return from a planned stop with a hand-over", true, func(b *bench) {
			again(func(u *Upstream) { u.Owned, u.Stopping = false, true })(b)
			b.wait(time.Hour)
			again(func(u *Upstream) { u.Owned, u.Epoch = false, 2 })(b)
			again(func(u *Upstream) { u.Epoch = 3 })(b)
			b.wait(2 * time.Second)
			b.answerProbes(Report{BootID: "boot-1", HasLoad: true, HasCold: true})
		}, 1},
		{"report of cold in a probe", true, func(b *bench) {
			b.wait(2 * time.Second)
			b.answerProbes(Report{BootID: "boot-1", HasCold: true, Cold: true})
		}, 1},
		{"failures in a row without a new boot id", true, func(b *bench) {
			for range coldFailures {
				b.end("u", failed)
			}
		}, 1},
		{"slow responses in a row without a new boot id", true, func(b *bench) {
			for range coldSlowResponses {
				b.end("u", slow)
			}
		}, 1},
		{"a single straggler changes nothing", true, func(b *bench) { b.end("u", slow) }, 3},
		{"owner lost: all slots may be in use", true, loseAndRegain(func(u *Upstream) { u.OwnerLost = true }), 0},
		{"owner lost, then a report that one request remains, not cold", true, func(b *bench) {
			loseAndRegain(func(u *Upstream) { u.OwnerLost = true })(b)
			b.wait(time.Second)
			b.wait(quietTime)
			b.answerProbes(Report{BootID: "boot-1", HasLoad: true, InFlight: 1, Slots: 3, HasCold: true})
		}, 2},
		{"owner lost, then only time passes without an answer", true, func(b *bench) {
			loseAndRegain(func(u *Upstream) { u.OwnerLost = true })(b)
			b.wait(time.Hour)
		}, 0},
		{"owner lost, and the deadlines of its requests have passed", true, func(b *bench) {
			b.s.cfg.ForeignTimeout = time.Minute
			loseAndRegain(func(u *Upstream) { u.OwnerLost = true })(b)
			b.wait(time.Minute)
		}, 1},
		{"owner lost, and they have not passed yet", true, func(b *bench) {
			b.s.cfg.ForeignTimeout = time.Minute
			loseAndRegain(func(u *Upstream) { u.OwnerLost = true })(b)
			b.wait(time.Minute - 1)
		}, 0},
		{"released with two remaining", true, loseAndRegain(func(u *Upstream) { u.Remaining = 2 }), 0},
		{"released with two remaining, then a report that it is not cold", true, func(b *bench) {
			loseAndRegain(func(u *Upstream) { u.Remaining = 2 })(b)
			b.wait(time.Second)
			b.wait(quietTime)
			b.answerProbes(Report{BootID: "boot-1", HasLoad: true, InFlight: 2, Slots: 3, HasCold: true})
		}, 1},
		{"released with nothing remaining starts cold until a report", true, loseAndRegain(func(*Upstream) {}), 1},
		{"new boot id learned with the new ownership, report not cold", true, func(b *bench) {
			loseAndRegain(func(u *Upstream) { u.BootID = "boot-2" })(b)
			b.wait(time.Second)
			b.wait(quietTime)
			b.answerProbes(Report{BootID: "boot-2", HasLoad: true, Slots: 3, HasCold: true})
		}, 1},
	}
	for _, row := range rows {
		t.Run(row.description, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, testConfig(), owned("u"))
			b.fill(20)
			if row.warm {
				b.work("u", fullWarm)
				is.Equal(len(b.running["u"]), 3)
				b.answerProbes(Report{})
			}
			row.fault(b)
			// Requests from before the fault may still run; let them end without counting as work since.
			before := b.running["u"]
			b.running["u"] = nil
			for _, a := range before {
				b.s.Done(a, Outcome{Result: NotSent}, b.now)
			}
			b.fill(20)
			b.poll()
			is.Equal(len(b.running["u"]), row.most)
		})
	}
}

// Guards against an upstream that no owner has warmed up starting at its slots because its boot id is old.
func TestFirstOwnerStartsCold(t *testing.T) {
	is := is.New(t)
	u := owned("u")
	u.Owned = false
	b := newBench(t, testConfig(), u)
	b.wait(time.Hour)
	u.Owned, u.Epoch = true, 2
	b.set(u)
	b.wait(time.Second)
	b.answerProbes(Report{BootID: "boot-1", HasLoad: true, Slots: 3, HasCold: true})
	b.fill(5)
	is.Equal(len(b.running["u"]), 1)
}

// Guards against a late response of the process before a restart putting the ramp back a second time, and against its
// completion counting as work of the new process.
func TestLateResponseOfFormerProcess(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), owned("u"))
	b.work("u", fullWarm)
	u := owned("u")
	u.BootID = "boot-2"
	b.set(u)
	for range 3 {
		b.end("u", Outcome{Result: Succeeded, Latency: 4 * time.Millisecond, Report: Report{BootID: "boot-1"}})
	}
	is.Equal(len(b.running["u"]), 1)
	b.work("u", rampCompletions-1)
	is.Equal(len(b.running["u"]), 1)
	b.work("u", 1)
	is.Equal(len(b.running["u"]), 2)
}

// Guards against the over-allowance reaching an upstream that is cold, a request that is not idempotent, or a moment when
// another upstream has a free slot.
func TestOverAllowance(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.OverAllowance = 1
	b := newBench(t, cfg, owned("u"))
	b.work("u", warmUp)
	is.Equal(len(b.running["u"]), 3) // At its slots, not yet proven warm.
	b.work("u", fullWarm)
	is.Equal(len(b.running["u"]), 4)
	b = newBench(t, cfg, owned("u"))
	b.work("u", fullWarm)
	for b.end("u", Outcome{Result: Succeeded}) {
	}
	for range 5 {
		b.enqueue(Request{Class: "c"})
	}
	is.Equal(len(b.running["u"]), 3)
	b.set(owned("u"), owned("v"))
	is.Equal(len(b.running["v"]), 1)
}

// Guards against an upstream that announces more slots than before staying at the former number.
func TestAnnouncedSlotsRise(t *testing.T) {
	is := is.New(t)
	u := owned("u")
	u.Slots = 1
	b := newBench(t, testConfig(), u)
	b.fill(200)
	b.work("u", fullWarm)
	is.Equal(len(b.running["u"]), 1)
	u.Slots = 3
	b.set(u)
	b.work("u", fullWarm)
	is.Equal(len(b.running["u"]), 3)
}

// Guards against an upstream staying at the few slots that it reports in its cold start after it has warmed up, and getting more
// than it reports meanwhile.
func TestReportedSlotsRise(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), owned("u"))
	b.fill(200)
	serve := func(n, slots int) {
		for range n {
			b.end("u", Outcome{Result: Succeeded, Latency: 4 * time.Millisecond, Report: Report{BootID: "boot-1", HasLoad: true, Slots: slots}})
			is.True(len(b.running["u"]) <= slots)
		}
	}
	serve(fullWarm, 1)
	serve(1, 2)
	serve(fullWarm, 3)
	is.Equal(len(b.running["u"]), 3)
}
