package cluster

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/internal/nodelink"
)

// Guards against request limits that only the process knows that received the response, while the others send on.
func TestRequestLimitsReachTheOthers(t *testing.T) {
	var mu sync.Mutex
	reported := make(map[string]limits) // by process
	all := startDeployment(t, 3, 2, func(cfg *Config) {
		name := cfg.Self.Name
		reported[name] = make(limits)
		cfg.OnLimits = func(l map[string]float64) {
			mu.Lock()
			defer mu.Unlock()
			reported[name].add(l)
		}
	})
	for _, replica := range all[:3] {
		eventually(t, "every other process is connected to the replica", func() bool { return subscriberCount(replica) == len(all)-1 })
	}
	for _, perSecond := range []float64{2.5, 4, -1} { // begins, changes, ends
		all[0].ShareLimits(limits{"u": perSecond}) // from a replica
		all[4].ShareLimits(limits{"v": perSecond}) // from a process without a replica
		for _, p := range all {
			eventually(t, fmt.Sprintf("the other processes receive the limit %v", perSecond), func() bool {
				mu.Lock()
				defer mu.Unlock()
				l := reported[p.cfg.Self.Name]
				return (l["u"] == perSecond || p == all[0]) && (l["v"] == perSecond || p == all[4])
			})
		}
	}
}

// Guards against a message to each process for each report: limits are collected for limitsInterval, and one message, encoded
// once, serves all processes.
func TestRequestLimitsAreCollected(t *testing.T) {
	is := is.New(t)
	c := newUnconnectedCluster(Config{})
	c.replica = &replica{}
	a, b := &nodelink.Link{Remote: "127.0.0.2:1000"}, &nodelink.Link{Remote: "127.0.0.3:1000"}
	(*handler)(c).Opened(a)
	(*handler)(c).Opened(b)
	c.takeUpdates() // the full ones
	c.relayLimits(nil, limits{"u": 2})
	updates := c.takeUpdates()
	is.Equal(updates[a].Limits, limits{"u": 2})
	is.True(updates[a] == updates[b])
	c.relayLimits(nil, limits{"u": 3})
	c.relayLimits(nil, limits{"v": 4})
	is.Equal(len(c.takeUpdates()), 0) // within limitsInterval
	is.True(c.hasPendingLimits())
	c.limitsSentAt = c.limitsSentAt.Add(-limitsInterval)
	is.Equal(c.takeUpdates()[b].Limits, limits{"u": 3, "v": 4})
}
