package controlplane_test

import (
	"slices"
	"testing"
	"time"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/replog"
)

func (c *cluster) voters() []replog.NodeID {
	return c.replica(c.leader()).node.Status().Membership.Voters
}

func (c *cluster) awaitVoters(want ...replog.NodeID) {
	c.t.Helper()
	c.until(30*time.Second, "voters", func() bool { return slices.Equal(c.voters(), want) })
}

// Guards against a group that loses its majority when one more VM is lost while a zone is out of service, and against
// voters that are not restored after the return.
func TestVotersFollowPlannedStops(t *testing.T) {
	for _, test := range []struct {
		description string
		stop        string
		voters      []replog.NodeID
	}{
		{"zone with two of five", "a", []replog.NodeID{2, 3, 5}},
		{"the other zone with two of five", "b", []replog.NodeID{1, 3, 4}},
		{"zone with one of five", "c", []replog.NodeID{1, 2, 4, 5}},
	} {
		t.Run(test.description, func(t *testing.T) {
			t.Parallel()
			run(t, 5, 3, 1, func(c *cluster) {
				c.editStop("stop", dynconfig.Stop{Zone: test.stop}, false)
				c.awaitVoters(test.voters...)
				for _, id := range c.boot {
					if zoneOf(id) == test.stop {
						c.kill(id)
					}
				}
				c.kill(c.leader())
				c.accept("one-more-replica-lost")
				c.inForce()
				for _, id := range c.boot {
					if c.replica(id) == nil {
						c.restart(id)
					}
				}
				c.editStop("return", dynconfig.Stop{Zone: test.stop}, true)
				c.awaitVoters(c.boot...)
				c.converged()
			})
		})
	}
}

// Guards against a small group that gives up a voter and cannot lose one any more, and against voters that are demoted and
// promoted in turn.
func TestVotersKept(t *testing.T) {
	for _, test := range []struct {
		description string
		size        int
		lost        []replog.NodeID // before the stops
		stops       []string
		voters      []replog.NodeID
	}{
		{"three replicas", 3, nil, []string{"a"}, []replog.NodeID{1, 2, 3}},
		{"four replicas, two in the zone", 4, nil, []string{"a"}, []replog.NodeID{1, 2, 3}},
		{"five replicas, two zones", 5, nil, []string{"a", "b"}, []replog.NodeID{1, 2, 3}},
		{"five replicas, another zone lost", 5, []replog.NodeID{2, 5}, []string{"a"}, []replog.NodeID{1, 3, 4}},
	} {
		t.Run(test.description, func(t *testing.T) {
			t.Parallel()
			run(t, test.size, 3, 1, func(c *cluster) {
				for i, id := range test.lost {
					c.kill(id)
					c.until(20*time.Second, "demotion", func() bool { return len(c.voters()) == test.size-1-i })
				}
				for _, zone := range test.stops {
					c.editStop("stop-"+zone, dynconfig.Stop{Zone: zone}, false)
				}
				c.awaitVoters(test.voters...)
				for i := range 200 {
					time.Sleep(50 * time.Millisecond)
					if i == 100 && test.lost == nil {
						leader := c.leader()
						c.kill(leader)
						c.restart(leader)
					}
					if v := c.voters(); !slices.Equal(v, test.voters) {
						c.t.Fatalf("voters %v", v)
					}
				}
				c.kill(c.leader())
				c.editStop("return", dynconfig.Stop{Zone: test.stops[0]}, true)
			})
		})
	}
}
