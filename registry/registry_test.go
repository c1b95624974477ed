package registry_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/registry"
)

var start = time.Unix(1_800_000_000, 0)

func entry(id string, incarnation int64, seq uint64, state registry.State) registry.Entry {
	return registry.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 3, Incarnation: incarnation, Seq: seq, State: state}
}

// Guards against announcements that revert a newer state because they are delayed or come from an earlier process.
func TestMerge(t *testing.T) {
	other := entry("b", 200, 1, registry.Ready)
	for _, test := range []struct {
		description string
		entries     []registry.Entry
		states      map[string]registry.State
	}{
		{"first", []registry.Entry{entry("a", 100, 1, registry.Ready)}, map[string]registry.State{"a": registry.Ready}},
		{"drain", []registry.Entry{entry("a", 100, 1, registry.Ready), entry("a", 100, 2, registry.Draining)},
			map[string]registry.State{"a": registry.Draining}},
		{"delayed ready after a drain", []registry.Entry{entry("a", 100, 2, registry.Draining), entry("a", 100, 1, registry.Ready)},
			map[string]registry.State{"a": registry.Draining}},
		{"ready with a higher sequence number after a drain", []registry.Entry{entry("a", 100, 2, registry.Draining), entry("a", 100, 3, registry.Ready)},
			map[string]registry.State{"a": registry.Draining}},
		{"ready after gone", []registry.Entry{entry("a", 100, 2, registry.Gone), entry("a", 100, 3, registry.Ready)},
			map[string]registry.State{"a": registry.Gone}},
		{"new incarnation of the same id, lower sequence number", []registry.Entry{entry("a", 100, 9, registry.Gone), entry("a", 200, 1, registry.Ready)},
			map[string]registry.State{"a": registry.Ready}},
		{"announcement of an earlier incarnation", []registry.Entry{entry("a", 200, 1, registry.Ready), entry("a", 100, 9, registry.Draining)},
			map[string]registry.State{"a": registry.Ready}},
		{"deregistration without a start time", []registry.Entry{entry("a", 100, 2, registry.Ready), {ID: "a", State: registry.Gone}},
			map[string]registry.State{"a": registry.Gone}},
		{"deregistration before the announcement", []registry.Entry{{ID: "a", State: registry.Gone, Incarnation: 100}, entry("a", 100, 2, registry.Ready)},
			map[string]registry.State{"a": registry.Gone}},
		{"late deregistration of an earlier incarnation", []registry.Entry{entry("a", 200, 1, registry.Ready), {ID: "a", State: registry.Gone, Incarnation: 100}},
			map[string]registry.State{"a": registry.Ready}},
		{"address taken over by a later process", []registry.Entry{entry("a", 100, 1, registry.Ready), other},
			map[string]registry.State{"a": registry.Gone, "b": registry.Ready}},
		{"delayed announcement of the earlier user of the address", []registry.Entry{other, entry("a", 100, 1, registry.Ready)},
			map[string]registry.State{"a": registry.Gone, "b": registry.Ready}},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			r := registry.New()
			for _, e := range test.entries {
				r.Merge(e, start)
			}
			for id, state := range test.states {
				e, ok := r.Get(id)
				is.True(ok)
				is.Equal(e.State, state)
			}
		})
	}
}

// Guards against replicas that never converge because announcements arrived in a different order.
func TestReplicasConverge(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		var entries []registry.Entry
		for incarnation := range int64(4) { // four processes, which share two ids and one address
			id := strconv.Itoa(int(incarnation) % 2)
			for seq := range uint64(3) {
				entries = append(entries, entry(id, 100+incarnation, seq, registry.State(seq+1)))
			}
		}
		a, b := registry.New(), registry.New()
		for _, e := range entries {
			a.Merge(e, start)
		}
		random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		for _, e := range entries {
			b.Merge(e, start)
		}
		for _, e := range b.All(start) { // exchanging the entries resolves the differences left by the order
			a.Merge(e, start)
		}
		for _, e := range a.All(start) {
			b.Merge(e, start)
		}
		is.Equal(a.All(start), b.All(start))
	}
}

// Guards against reporting every heartbeat as a change: only material changes must be propagated.
func TestOnlyMaterialChangesAreReported(t *testing.T) {
	is := is.New(t)
	r := registry.New()
	is.Equal(len(r.Merge(entry("a", 100, 1, registry.Ready), start)), 1)
	revision := r.Revision()
	is.Equal(len(r.Merge(entry("a", 100, 2, registry.Ready), start)), 0)
	is.Equal(r.Revision(), revision)
	is.Equal(len(r.Merge(entry("a", 100, 3, registry.Draining), start)), 1)
	is.True(r.Revision() > revision)
	is.Equal(len(r.Merge(registry.Entry{ID: "b", Service: "s", Address: "10.0.0.1:80", State: registry.Ready, Incarnation: 200}, start)), 2)
}

// Guards against an upstream that turns cold again while only the process that noticed knows it.
func TestWarmupThatBeginsIsPropagated(t *testing.T) {
	is := is.New(t)
	r := registry.New()
	is.Equal(len(r.Merge(entry("a", 100, 1, registry.Ready), start)), 1)
	cold := func(incarnation int64, seq uint64, left time.Duration) registry.Entry {
		e := entry("a", incarnation, seq, registry.Ready)
		e.WarmupLeft = left
		return e
	}
	at := start.Add(time.Second)
	is.Equal(len(r.Merge(cold(100, 2, 3*time.Second), at)), 1) // announced by the upstream
	is.Equal(len(r.Merge(cold(100, 3, 2*time.Second), at.Add(time.Second))), 0)
	is.Equal(len(r.Merge(cold(100, 3, 3*time.Second), at.Add(time.Second))), 0) // a late copy
	at = at.Add(time.Minute)
	is.Equal(len(r.Merge(cold(100, 2, 3*time.Second), at)), 0) // an earlier announcement
	observed := cold(99, 9, 3*time.Second)
	observed.Observed = true
	is.Equal(len(r.Merge(observed, at)), 0) // in a response of an earlier process
	observed = cold(100, 1, 3*time.Second)
	observed.Observed = true
	is.Equal(len(r.Merge(observed, at)), 1) // by a process that does not know the newest announcement
	is.Equal(len(r.Merge(observed, at)), 0)
	is.Equal(r.All(at.Add(time.Second))[0].WarmupLeft, 2*time.Second)
}

// Guards against tombstones that are dropped too early or never, and against a warm-up that does not end.
func TestExpire(t *testing.T) {
	is := is.New(t)
	r := registry.New()
	cold := entry("a", 100, 1, registry.Ready)
	cold.WarmupLeft = 3 * time.Second
	r.Merge(cold, start)
	is.Equal(r.All(start.Add(time.Second))[0].WarmupLeft, 2*time.Second)
	is.Equal(r.All(start.Add(time.Minute))[0].WarmupLeft, time.Duration(0))
	r.Merge(entry("a", 100, 2, registry.Gone), start)
	r.Expire(start.Add(registry.GoneRetention-1), 0)
	is.Equal(len(r.All(start)), 1)
	r.Expire(start.Add(registry.GoneRetention), 0)
	is.Equal(len(r.All(start)), 0)

	r.Merge(entry("a", 100, 1, registry.Ready), start)
	r.Expire(start.Add(time.Minute), 2*time.Minute)
	is.Equal(len(r.All(start)), 1)
	r.Expire(start.Add(2*time.Minute), 2*time.Minute)
	is.Equal(len(r.All(start)), 0)
	r.Merge(entry("a", 100, 2, registry.Ready), start)
	is.Equal(len(r.All(start)), 1) // it was dropped without a tombstone
}

// Guards against a registry that grows without bound, and against an upstream that is lost because others are announced.
func TestRegistryWithinItsLimit(t *testing.T) {
	is := is.New(t)
	r := registry.NewWithin(2)
	add := func(id, address string, seq uint64, state registry.State, at time.Time) {
		e := entry(id, 100, seq, state)
		e.Address = address
		r.Merge(e, at)
	}
	add("a", "10.0.0.1:80", 1, registry.Ready, start)
	add("b", "10.0.0.2:80", 1, registry.Ready, start)
	is.True(!r.HasRoom("c"))
	add("c", "10.0.0.1:80", 1, registry.Ready, start) // would take over the address
	is.Equal(len(r.All(start)), 2)
	is.True(r.HasRoom("a"))
	add("a", "10.0.0.1:80", 2, registry.Gone, start)
	is.Equal(r.All(start)[0].State, registry.Gone)
	is.True(!r.HasRoom("c")) // a late announcement would add it again
	later := start.Add(registry.GoneRetention)
	r.Expire(later, 0)
	is.True(r.HasRoom("c"))
	add("c", "10.0.0.3:80", 1, registry.Ready, later)
	is.Equal(len(r.All(later)), 2)
}
