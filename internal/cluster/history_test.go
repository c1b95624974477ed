package cluster

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/routing"
	"github.com/bramleypick/bramleypick/routingstate"
)

// Guards against a reply that leads to another view than the replica's, because changes are missing, repeated or
// applied to the wrong view, whatever view the process had before.
func TestHistoryRepliesYieldNewestView(t *testing.T) {
	is := is.New(t)
	machine := routingstate.New()
	m := &observedMachine{Machine: machine, history: &history{}, onChange: func(*routingstate.View) {}}
	views := []*routingstate.View{m.View()}
	apply := func(index uint64, c routingstate.Command) {
		data, err := c.Encode()
		is.NoErr(err)
		m.Apply(index, data)
		if v := m.View(); v != views[len(views)-1] {
			views = append(views, v.WithoutSources())
		}
	}
	apply(3, routingstate.Command{Put: &routing.Config{Version: 1, Services: []routing.Service{{Name: "s", Source: []byte("{}")}}}})
	for i := range uint64(maxHistoryChanges + 20) {
		index := 10 + 2*i
		switch i % 3 {
		case 0:
			apply(index, routingstate.Command{Evacuate: &routingstate.Evacuation{Zone: fmt.Sprint(i)}})
		case 1: // rejected, changes nothing
			apply(index, routingstate.Command{Patch: &routing.Patch{Version: 1, BaseVersion: 77}})
		case 2:
			version := m.View().Config.Version
			apply(index, routingstate.Command{Patch: &routing.Patch{Version: version + 3, BaseVersion: version, UpsertServices: []routing.Service{
				{Name: fmt.Sprint("s", i), Source: []byte(`{"name":"s"}`)},
			}}})
		}
	}
	newest := m.View().WithoutSources()
	wholeViews := 0
	compressed := 0
	for _, have := range views {
		for _, accept := range []bool{false, true, true} { // the last reply is a cached one
			reply, err := m.history.reply(viewRequest{Have: have.Index, AcceptCompressed: accept}, m.View())
			is.NoErr(err)
			if len(reply.View) > 0 {
				wholeViews++
			}
			if len(reply.CompressedChanges) > 0 {
				is.True(accept)
				compressed++
			}
			got, err := reply.apply(have)
			is.NoErr(err)
			is.Equal(got.Index, newest.Index)
			is.Equal(got.Evacuated, newest.Evacuated)
			is.Equal(encodedConfig(t, got), encodedConfig(t, newest))
		}
	}
	is.Equal(wholeViews, 3) // only the process that had no view
	is.True(compressed > 0)
	unknown := &routingstate.View{Index: 11}
	reply, err := m.history.reply(viewRequest{Have: unknown.Index}, m.View())
	is.NoErr(err)
	is.True(len(reply.View) > 0) // no view has this index
}

// encodedConfig returns a comparable form of the configuration, in which empty and missing lists are equal.
func encodedConfig(t *testing.T, v *routingstate.View) []byte {
	t.Helper()
	data, err := encode(v.Config)
	is.New(t).NoErr(err)
	return data
}

// Guards against a history that grows without bound.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	m := &observedMachine{Machine: routingstate.New(), history: &history{}, onChange: func(*routingstate.View) {}}
	for i := range uint64(3 * maxHistoryChanges) {
		data, err := routingstate.Command{Evacuate: &routingstate.Evacuation{Zone: "z", End: i%2 == 1}}.Encode()
		is.NoErr(err)
		m.Apply(i+1, data)
	}
	is.Equal(len(m.history.changes), maxHistoryChanges)
	old := &routingstate.View{Index: 1}
	reply, err := m.history.reply(viewRequest{Have: old.Index}, m.View())
	is.NoErr(err)
	is.True(len(reply.View) > 0)
	_, err = viewReply{Changes: []change{{Index: 5, Data: []byte("x")}}}.apply(old)
	is.True(err != nil) // a change that does not apply is an error and is not skipped
}

// Guards against a change with many routes that reaches processes on slow links too late: while downloads use three quarters of
// a link of 2.6 Mbit/s, 1,400 added routes must arrive within fetchTimeout.
func TestManyAddedRoutesArriveInTimeOnASlowLink(t *testing.T) {
	is := is.New(t)
	m := &observedMachine{Machine: routingstate.New(), history: &history{}, onChange: func(*routingstate.View) {}}
	added := make([]routing.Route, 1400)
	for i := range added {
		added[i] = routing.Route{
			Name: fmt.Sprintf("r-%04dab", i*7919%9973), Host: fmt.Sprintf("host%d.example", i%40), PathPrefix: fmt.Sprintf("/p%d/q%d/", i*31337%99991, i),
			Kind: routing.Idempotent, TimeoutMillis: 1500, TargetLatencyMillis: 600, Priority: 2, MaxAttempts: 2, Service: "s",
		}
	}
	for i, c := range []routingstate.Command{
		{Put: &routing.Config{Version: 1, Services: []routing.Service{{Name: "s"}}}},
		{Patch: &routing.Patch{Version: 2, BaseVersion: 1, UpsertRoutes: added}},
	} {
		data, err := c.Encode()
		is.NoErr(err)
		m.Apply(uint64(i+1), data)
	}
	reply, err := m.history.reply(viewRequest{Have: 1, AcceptCompressed: true}, m.View())
	is.NoErr(err)
	data, err := encode(reply)
	is.NoErr(err)
	const freeBitsPerSecond = 2.6e6 / 4
	t.Logf("%d bytes", len(data))
	is.True(float64(len(data)*8)/freeBitsPerSecond <= fetchTimeout.Seconds())
}

// Guards against a copy of the view for each call, which takes more memory than a small VM has.
func TestCallsShareTheEncodedView(t *testing.T) {
	is := is.New(t)
	m := &observedMachine{Machine: routingstate.New(), history: &history{}, onChange: func(*routingstate.View) {}}
	put := func(version uint64) []byte {
		t.Helper()
		data, err := routingstate.Command{Put: &routing.Config{Version: version, Services: []routing.Service{{Name: "s"}}}}.Encode()
		is.NoErr(err)
		m.Apply(version, data)
		reply, err := m.history.encodedReply(viewRequest{}, m.View())
		is.NoErr(err)
		again, err := m.history.encodedReply(viewRequest{}, m.View())
		is.NoErr(err)
		is.True(&reply[0] == &again[0])
		return reply
	}
	for version := range uint64(2) {
		var reply viewReply
		is.NoErr(decode(put(version+1), &reply))
		got, err := reply.apply(&routingstate.View{})
		is.NoErr(err)
		is.Equal(got.Index, m.View().Index)
	}
}
