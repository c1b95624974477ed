package cluster

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/crashguard"
	"github.com/bramleypick/bramleypick/registry"
)

// Guards against a process that starts late and does not learn what the others share only when it happens: crash records, request
// limits, and upstreams that said in a response that they leave.
func TestLateProcessLearnsWhatIsShared(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	received := make(map[string]int) // losses, by fingerprint
	limited := make(limits)
	crashed := map[string]crashguard.Record{"f": {Losses: 3, Age: time.Second}}
	all := startDeployment(t, 3, 1, func(cfg *Config) {
		if cfg.DataDir != "" {
			cfg.CrashRecords = func() map[string]crashguard.Record { return crashed }
		}
	})
	eventually(t, "every replica votes", func() bool { return voterCount(all[0]) == 3 })
	e := registry.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z1", State: registry.Ready, Incarnation: 1, Seq: 1}
	eventually(t, "the upstream is announced", func() bool { return all[3].Announce(t.Context(), e) == nil })
	is.NoErr(all[3].RecordLeaving(t.Context(), "u", 2)) // another incarnation
	known, _ := all[3].registry.Get("u")
	is.Equal(known.State, registry.Ready)
	eventually(t, "the departure is stored", func() bool { return all[3].RecordLeaving(t.Context(), "u", 1) == nil })

	late := startProcess(t, Config{
		Self: freePeer(t, 90), Seeds: all[0].cfg.Seeds, Log: zap.NewNop(),
		OnCrashRecords: func(records map[string]crashguard.Record) {
			mu.Lock()
			defer mu.Unlock()
			for fingerprint, r := range records {
				received[fingerprint] = max(received[fingerprint], r.Losses)
			}
		},
		OnLimits: func(l map[string]float64) {
			mu.Lock()
			defer mu.Unlock()
			limited.add(l)
		},
	})
	eventually(t, "the process knows all of it", func() bool {
		all[3].ShareLimits(limits{"v": 2}) // limits in force are reported again
		known, _ := late.registry.Get("u")
		mu.Lock()
		defer mu.Unlock()
		return known.State == registry.Draining && received["f"] == 3 && limited["v"] == 2
	})
}

// Guards against an upstream that turns cold again while only the process that noticed knows it.
func TestWarmupReachesTheOthers(t *testing.T) {
	all := startDeployment(t, 3, 2)
	eventually(t, "every replica votes", func() bool { return voterCount(all[0]) == 3 })
	e := registry.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z1", State: registry.Ready, Incarnation: 1, Seq: 1}
	eventually(t, "the upstream is announced", func() bool { return all[3].Announce(t.Context(), e) == nil })
	for _, p := range all {
		eventually(t, "every process knows the upstream", func() bool { return len(p.Upstreams()) == 1 })
	}
	e.Seq = 2 // changes nothing, so that only the replica knows it
	is.New(t).NoErr(all[0].Announce(t.Context(), e))
	is.New(t).NoErr(all[4].RecordWarmup(t.Context(), "u", 1, time.Minute))
	for _, p := range all {
		eventually(t, "every process knows that it is cold", func() bool { return p.Upstreams()[0].WarmupLeft > 0 })
	}
}
