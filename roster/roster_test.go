package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/roster"
)

var start = time.Unix(1_800_000_000, 0)

func node(ip string, incarnation int64, seq uint64, s roster.State) roster.Node {
	return roster.Node{IP: ip, Incarnation: incarnation, Seq: seq, State: s}
}

func alive(n roster.Node) roster.Report { return roster.Report{Node: n, Alive: true} }
func dead(n roster.Node) roster.Report  { return roster.Report{Node: n} }

// Guards against directing clients to a dead process, and against dropping a process that another replica reports as alive.
func TestAlive(t *testing.T) {
	a := node("10.0.0.1", 100, 1, roster.Serving)
	type step struct {
		reporter string
		report   roster.Report
	}
	for _, test := range []struct {
		description string
		steps       []step
		alive       bool
	}{
		{"alive on one replica", []step{{"r1", alive(a)}}, true},
		{"lost by the only replica", []step{{"r1", alive(a)}, {"r1", dead(a)}}, false},
		{"lost by one of two replicas", []step{{"r1", alive(a)}, {"r2", alive(a)}, {"r1", dead(a)}}, true},
		{"lost by all replicas", []step{{"r1", alive(a)}, {"r2", alive(a)}, {"r1", dead(a)}, {"r2", dead(a)}}, false},
		{"reconnected", []step{{"r1", alive(a)}, {"r1", dead(a)}, {"r1", alive(a)}}, true},
		{"loss of an earlier incarnation", []step{{"r1", alive(node("10.0.0.1", 200, 1, roster.Serving))}, {"r2", dead(a)}}, true},
		{"delayed report of an earlier incarnation", []step{{"r1", alive(node("10.0.0.1", 200, 1, roster.Serving))}, {"r1", dead(node("10.0.0.1", 200, 1, roster.Serving))},
			{"r2", alive(a)}}, false},
		{"restart", []step{{"r1", alive(a)}, {"r2", alive(a)}, {"r1", alive(node("10.0.0.1", 200, 1, roster.Starting))},
			{"r1", dead(node("10.0.0.1", 200, 1, roster.Starting))}}, false},
		{"unknown node reported dead", []step{{"r1", dead(a)}}, false},
	} {
		t.Run(test.description, func(t *testing.T) {
			r := roster.New()
			for _, s := range test.steps {
				r.Report(s.reporter, s.report, start)
			}
			is.New(t).Equal(len(r.Alive()) == 1, test.alive)
		})
	}
}

// Guards against replacing the state of a process by an older one.
func TestStaleStateIsIgnored(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.Report("r1", alive(node("10.0.0.1", 100, 2, roster.Leaving)), start)
	r.Report("r2", alive(node("10.0.0.1", 100, 1, roster.Serving)), start)
	is.Equal(r.Alive()[0].State, roster.Leaving)
}

// Guards against a dead process to which clients are directed for ever, because the only replica that reported it as alive was lost
// at the same moment, and is back without knowing it.
func TestUnconfirmedNodeExpires(t *testing.T) {
	a, b := node("10.0.0.1", 100, 1, roster.Serving), node("10.0.0.2", 100, 1, roster.Serving)
	for _, test := range []struct {
		description string
		then        func(r *roster.Roster) // after the connections to r1 and r2 are lost
		alive       bool                   // UnconfirmedRetention later
	}{
		{"isolated", func(*roster.Roster) {}, true},
		{"the replica is back without knowing it", func(r *roster.Roster) {
			r.AddReporter("r1", start)
			r.Report("r1", alive(b), start)
		}, false},
		{"another replica is back", func(r *roster.Roster) { r.AddReporter("r2", start) }, false},
		{"confirmed", func(r *roster.Roster) {
			r.AddReporter("r2", start)
			r.Report("r2", alive(a), start)
		}, true},
		{"confirmed and lost", func(r *roster.Roster) {
			r.AddReporter("r2", start)
			r.Report("r2", alive(a), start)
			r.Report("r2", dead(a), start)
		}, false},
		{"connected only later", func(r *roster.Roster) { r.AddReporter("r2", start.Add(time.Second)) }, true},
		{"a new process", func(r *roster.Roster) {
			r.AddReporter("r2", start)
			r.Report("r2", alive(node("10.0.0.1", 200, 1, roster.Serving)), start)
		}, true},
	} {
		t.Run(test.description, func(t *testing.T) {
			is := is.New(t)
			r := roster.New()
			r.AddReporter("r1", start)
			r.AddReporter("r2", start)
			r.Report("r1", alive(a), start)
			r.DropReports("r1", start)
			r.DropReports("r2", start)
			test.then(r)
			is.Equal(len(r.Expire(start.Add(roster.UnconfirmedRetention-time.Millisecond))), 0)
			before := r.Revision()
			lost := r.Expire(start.Add(roster.UnconfirmedRetention))
			is.Equal(r.IsAlive("10.0.0.1"), test.alive)
			is.Equal(len(lost) == 1, r.Revision() > before)
		})
	}
}

// Guards against an empty membership list in a process that has lost its connections to all replicas.
func TestDropReportsKeepsLastView(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	a := node("10.0.0.1", 100, 1, roster.Serving)
	r.Report("r1", alive(a), start)
	r.Report("r2", alive(a), start)
	r.DropReports("r1", start)
	r.DropReports("r2", start)
	is.Equal(len(r.Alive()), 1)
	r.Report("r1", dead(a), start) // r1's reports were dropped, so only the report of r2 counts
	is.Equal(len(r.Alive()), 1)
	r.Report("r2", dead(a), start)
	is.Equal(len(r.Alive()), 0)
	r.Expire(start.Add(roster.DeadNodeRetention))
	_, found := r.NodeByReplicaID(0)
	is.True(!found)
}
