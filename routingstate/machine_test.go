package routingstate_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/resultcode"
	"github.com/bramleypick/bramleypick/routing"
	"github.com/bramleypick/bramleypick/routingstate"
)

func config(version, base uint64, service string) *routing.Config {
	return &routing.Config{
		Version: version, BaseVersion: base, Services: []routing.Service{{Name: service}},
		Routes: []routing.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routing.Idempotent, MaxAttempts: 1, Service: service}},
	}
}

func invalid(version, base uint64) *routing.Config {
	c := config(version, base, "a")
	c.Routes[0].MaxAttempts = 0
	return c
}

func patch(version, base uint64, service string) *routing.Patch {
	return &routing.Patch{Version: version, BaseVersion: base, UpsertServices: []routing.Service{{Name: service}}}
}

// apply applies a command at the next index and returns the result code.
func apply(t *testing.T, m *routingstate.Machine, index *uint64, c routingstate.Command) resultcode.Code {
	t.Helper()
	is := is.New(t)
	data, err := c.Encode()
	is.NoErr(err)
	*index++
	r, err := routingstate.DecodeResult(m.Apply(*index, data))
	is.NoErr(err)
	return r.Code
}

// Guards against accepting two changes with the same base version, against rejecting the retry of an accepted change, and
// against a rejected change that takes effect.
func TestChanges(t *testing.T) {
	put := func(c *routing.Config) routingstate.Command { return routingstate.Command{Put: c} }
	change := func(p *routing.Patch) routingstate.Command { return routingstate.Command{Patch: p} }
	first := put(config(3, 0, "a"))
	for _, test := range []struct {
		description string
		commands    []routingstate.Command
		code        resultcode.Code // of the last command
		version     uint64          // current version afterwards
	}{
		{"first", []routingstate.Command{first}, resultcode.OK, 3},
		{"first retried", []routingstate.Command{first, first}, resultcode.OK, 3},
		{"first retried after another", []routingstate.Command{first, put(config(9, 3, "b")), first}, resultcode.OK, 9},
		{"next", []routingstate.Command{first, put(config(9, 3, "b"))}, resultcode.OK, 9},
		{"same base twice", []routingstate.Command{first, put(config(9, 3, "b")), put(config(10, 3, "c"))}, resultcode.VersionConflict, 9},
		{"same base and version, other content", []routingstate.Command{first, put(config(9, 3, "b")), put(config(9, 3, "c"))},
			resultcode.VersionConflict, 9},
		{"version not above the current one", []routingstate.Command{first, put(config(3, 3, "b"))}, resultcode.InvalidConfiguration, 3},
		{"invalid", []routingstate.Command{first, put(invalid(9, 3))}, resultcode.InvalidConfiguration, 3},
		{"unknown base", []routingstate.Command{first, put(config(9, 4, "b"))}, resultcode.VersionConflict, 3},
		{"patch", []routingstate.Command{first, change(patch(9, 3, "b"))}, resultcode.OK, 9},
		{"patch retried", []routingstate.Command{first, change(patch(9, 3, "b")), change(patch(9, 3, "b"))}, resultcode.OK, 9},
		{"patch on another version", []routingstate.Command{first, change(patch(9, 2, "b"))}, resultcode.VersionConflict, 3},
		{"patch with an invalid result", []routingstate.Command{first, change(&routing.Patch{Version: 9, BaseVersion: 3, RemoveServices: []string{"a"}})},
			resultcode.InvalidConfiguration, 3},
		{"two patches with the same base", []routingstate.Command{first, change(patch(9, 3, "b")), change(patch(9, 3, "c"))}, resultcode.VersionConflict, 9},
		{"empty command", []routingstate.Command{first, {}}, resultcode.MalformedCommand, 3},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			m := routingstate.New()
			var index uint64
			var code resultcode.Code
			for _, c := range test.commands {
				code = apply(t, m, &index, c)
			}
			is.Equal(code, test.code)
			is.Equal(m.View().Config.Version, test.version)
			is.NoErr(m.View().Config.Validate())
		})
	}
}

// Guards against evacuations that are lost, applied twice or not ended. The view index must increase if and only if the
// state changes, because other processes detect changes by it.
func TestEvacuations(t *testing.T) {
	is := is.New(t)
	m := routingstate.New()
	var index uint64
	start := routingstate.Command{Evacuate: &routingstate.Evacuation{Zone: "z"}}
	end := routingstate.Command{Evacuate: &routingstate.Evacuation{Zone: "z", End: true}}
	for _, step := range []struct {
		command   routingstate.Command
		evacuated bool
		changed   bool
	}{{end, false, false}, {start, true, true}, {start, true, false}, {end, false, true}, {end, false, false}, {start, true, true}} {
		before := m.View()
		is.Equal(apply(t, m, &index, step.command), resultcode.OK)
		is.Equal(m.View().Evacuated["z"], step.evacuated)
		is.Equal(m.View().Index > before.Index, step.changed)
	}
}

// Guards against a snapshot that omits the configuration, the evacuations or the record of accepted changes.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	m := routingstate.New()
	var index uint64
	first := routingstate.Command{Put: config(3, 0, "a")}
	is.Equal(apply(t, m, &index, first), resultcode.OK)
	is.Equal(apply(t, m, &index, routingstate.Command{Put: config(4, 3, "b")}), resultcode.OK)
	is.Equal(apply(t, m, &index, routingstate.Command{Evacuate: &routingstate.Evacuation{Zone: "z"}}), resultcode.OK)
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := routingstate.New()
	is.NoErr(restored.Restore(data))
	is.Equal(restored.View(), m.View())
	is.Equal(apply(t, restored, &index, first), resultcode.OK) // recognised as a retry
	is.True(restored.Restore([]byte("x")) != nil)
	is.Equal(restored.View(), m.View()) // unchanged by a snapshot that cannot be decoded
}

// Guards against a copy of an order that takes effect after a later order, and against an order that has no effect on later
// copies because the zone was in that state already.
func TestDelayedOrders(t *testing.T) {
	order := func(end bool, after uint64) routingstate.Command {
		return routingstate.Command{Evacuate: &routingstate.Evacuation{Zone: "z", End: end, After: &after}}
	}
	unconditional := func(end bool) routingstate.Command {
		return routingstate.Command{Evacuate: &routingstate.Evacuation{Zone: "z", End: end}}
	}
	const start, end = false, true
	for _, test := range []struct {
		description string
		commands    []routingstate.Command // at the indexes 1, 2, ...
		code        resultcode.Code        // of the last command
		evacuated   bool                   // afterwards
	}{
		{"first order", []routingstate.Command{order(start, 0)}, resultcode.OK, true},
		{"copy of the first order", []routingstate.Command{order(start, 0), order(start, 0)}, resultcode.VersionConflict, true},
		{"later order", []routingstate.Command{order(start, 0), order(end, 1)}, resultcode.OK, false},
		{"copy after a later order", []routingstate.Command{order(start, 0), order(end, 1), order(start, 0)}, resultcode.VersionConflict, false},
		{"copy after two later orders", []routingstate.Command{order(start, 0), order(end, 1), order(start, 2), order(end, 1)}, resultcode.VersionConflict, true},
		{"copy after an order that changed nothing", []routingstate.Command{order(start, 0), order(start, 1), order(end, 1)}, resultcode.VersionConflict, true},
		{"unknown earlier order", []routingstate.Command{order(start, 7)}, resultcode.OK, true},
		{"order of an earlier release", []routingstate.Command{order(start, 0), unconditional(end)}, resultcode.OK, false},
		{"after an order of an earlier release", []routingstate.Command{unconditional(start), order(end, 0)}, resultcode.OK, false},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			m := routingstate.New()
			var index uint64
			var code resultcode.Code
			for _, c := range test.commands {
				code = apply(t, m, &index, c)
			}
			is.Equal(code, test.code)
			is.Equal(m.View().Evacuated["z"], test.evacuated)
			data, err := m.Snapshot()
			is.NoErr(err)
			restored := routingstate.New()
			is.NoErr(restored.Restore(data))
			is.Equal(restored.View().Evacuated["z"], test.evacuated)
			is.Equal(restored.View().LastOrders, m.View().LastOrders)
		})
	}
}
