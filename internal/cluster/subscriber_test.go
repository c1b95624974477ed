package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/roster"
)

func newUnconnectedCluster(cfg Config) *Cluster {
	cfg.Self = roster.Node{IP: "127.0.0.1", PeerAddress: "127.0.0.1:1", Incarnation: 1}
	cfg.Seeds = func() []string { return []string{cfg.Self.PeerAddress} }
	cfg.Log = zap.NewNop()
	return New(cfg)
}

// nextUpdate returns the next update for a subscriber.
func nextUpdate(c *Cluster, l *nodelink.Link) update {
	if o := c.takeUpdates()[l]; o != nil {
		return o.update
	}
	return update{}
}

// Guards against a replica that does not publish processes and upstreams from before it started: on a slow disk a
// replica takes longer to start than other processes take to connect.
func TestReplicaPublishesStateFromBeforeItsStart(t *testing.T) {
	is := is.New(t)
	c := newUnconnectedCluster(Config{DataDir: t.TempDir(), AllowBootstrap: true})
	subscriber := &nodelink.Link{Remote: "127.0.0.2:1000"}
	(*handler)(c).Opened(subscriber)
	c.identify(subscriber, roster.Node{IP: "127.0.0.2", Incarnation: 1, Seq: 1})
	c.merge(registry.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", State: registry.Ready, Incarnation: 1, Seq: 1})
	c.takeUpdates() // updates from before the replica runs
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.runReplica(ctx) }()
	received := make(map[string]bool)
	eventually(t, "the subscriber receives both processes and the upstream", func() bool {
		for _, u := range c.takeUpdates() {
			for _, r := range u.Reports {
				received[r.Node.IP] = r.Alive
			}
			for _, e := range u.Entries {
				received[e.ID] = true
			}
		}
		return received["127.0.0.1"] && received["127.0.0.2"] && received["u"]
	})
	cancel()
	is.NoErr(<-done)
}

// Guards against a process being reported lost forever because its old link closed while it opened a new one.
func TestReconnectedProcessIsAlive(t *testing.T) {
	is := is.New(t)
	c := newUnconnectedCluster(Config{})
	c.mu.Lock()
	c.replica = &replica{} // only replicas send reports
	c.mu.Unlock()
	h := (*handler)(c)
	n := roster.Node{IP: "127.0.0.2", Incarnation: 1, Seq: 1}
	link := &nodelink.Link{Remote: "127.0.0.2:1000"}
	h.Opened(link)
	c.identify(link, n)
	other := &nodelink.Link{Remote: "127.0.0.3:1000"}
	h.Opened(other)
	var alive bool // as reported to the other subscriber
	for range 3000 {
		next := &nodelink.Link{Remote: link.Remote}
		var both sync.WaitGroup
		both.Go(func() { h.Closed(link, nil) })
		both.Go(func() {
			h.Opened(next)
			c.identify(next, n)
		})
		both.Wait()
		for _, r := range nextUpdate(c, other).Reports {
			if r.Node.IP == n.IP {
				alive = r.Alive
			}
		}
		is.True(c.nodes.IsAlive(n.IP)) // in this process
		is.True(alive)                 // and as reported
		link = next
	}
}

// Guards against a subscriber that is left with an older announcement of an upstream because two were merged
// concurrently.
func TestSubscriberReceivesNewestEntryLast(t *testing.T) {
	is := is.New(t)
	c := newUnconnectedCluster(Config{})
	c.mu.Lock()
	c.replica = &replica{}
	c.mu.Unlock()
	subscriber := &nodelink.Link{Remote: "127.0.0.2:1000"}
	(*handler)(c).Opened(subscriber)
	states := []registry.State{registry.Ready, registry.Draining}
	for round := range 2000 {
		received := registry.New()
		var all sync.WaitGroup
		const announcements = 8
		for seq := range uint64(announcements) {
			all.Go(func() {
				c.merge(registry.Entry{ID: strconv.Itoa(round), Service: "s", State: states[seq%2], Incarnation: 1, Seq: seq + 1})
			})
		}
		all.Wait()
		for _, e := range nextUpdate(c, subscriber).Entries {
			received.Merge(e, time.Now())
		}
		known, _ := c.registry.Get(strconv.Itoa(round))
		entry, _ := received.Get(strconv.Itoa(round))
		is.Equal(entry.State, known.State)
	}
}

// Guards against a full update that is too large for a starting process, which receives one from each replica over a
// link of 6 Mbit/s: the transfer must not take longer than opening the links.
func TestFullUpdateIsSmallOnTheWire(t *testing.T) {
	is := is.New(t)
	var u update
	for i := range 190 {
		u.Entries = append(u.Entries, registry.Entry{
			ID: fmt.Sprintf("i-%010x", rand.Uint64()>>24), Service: "s" + strconv.Itoa(i%3), Address: fmt.Sprintf("10.%d.64.%d:8286", i%3+1, i),
			Zone: "zone-" + strconv.Itoa(i%3), State: registry.Ready, Incarnation: 1772013657250 + int64(i*137), Seq: uint64(i), Slots: 3,
		})
	}
	for i := range 108 {
		ip := fmt.Sprintf("10.%d.0.%d", i%3+1, i)
		u.Reports = append(u.Reports, roster.Report{Alive: true, Node: roster.Node{
			IP: ip, Name: "front-zone-" + strconv.Itoa(i), Zone: "zone-" + strconv.Itoa(i%3), Incarnation: 1772013657250 + int64(i*137),
			ClientAddress: ip + ":8285", ControlAddress: ip + ":7600", PeerAddress: ip + ":7680", State: roster.Serving, Seq: 2,
		}})
	}
	plain, err := encode(u)
	is.NoErr(err)
	compressed, err := compress(plain)
	is.NoErr(err)
	t.Logf("%d bytes, %d compressed", len(plain), len(compressed))
	const replicas, bitsPerSecond, limit = 6, 6e6, 0.1 // s
	is.True(float64(replicas*len(compressed)*8)/bitsPerSecond < limit)
	c := newUnconnectedCluster(Config{})
	(*handler)(c).Receive(&nodelink.Link{Remote: "127.0.0.2:1000"}, methodCompressedUpdate, compressed)
	is.Equal(len(c.Upstreams()), len(u.Entries))
}

// Guards against a replica that encodes the same full update for each process that connects: after a power loss all of
// them connect at once.
func TestNewSubscribersShareOneUpdate(t *testing.T) {
	is := is.New(t)
	c := newUnconnectedCluster(Config{})
	c.mu.Lock()
	c.replica = &replica{}
	c.mu.Unlock()
	c.merge(registry.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", State: registry.Ready, Incarnation: 1, Seq: 1})
	first, second := &nodelink.Link{Remote: "127.0.0.2:1000"}, &nodelink.Link{Remote: "127.0.0.3:1000"}
	(*handler)(c).Opened(first)
	(*handler)(c).Opened(second)
	updates := c.takeUpdates()
	is.True(updates[first] == updates[second])
	is.Equal(len(updates[first].Entries), 1)
	is.Equal(len(c.takeUpdates()), 0) // a full update is sent once
	c.merge(registry.Entry{ID: "v", Service: "s", Address: "10.0.0.2:80", State: registry.Ready, Incarnation: 1, Seq: 1})
	is.Equal(len(nextUpdate(c, first).Entries), 1) // only the change
}

// Guards against a replica whose work after a loss of power grows with the square of the number of processes: each one
// that connects is a change for all others, and must be encoded once for all of them.
func TestSubscribersShareChanges(t *testing.T) {
	is := is.New(t)
	c := newUnconnectedCluster(Config{})
	c.replica = &replica{}
	var links []*nodelink.Link
	for i := range 50 {
		links = append(links, &nodelink.Link{Remote: strconv.Itoa(i)})
		(*handler)(c).Opened(links[i])
	}
	c.takeUpdates() // full ones
	for i, l := range links {
		c.identify(l, roster.Node{IP: "127.0.1." + strconv.Itoa(i), Incarnation: 1, Seq: 1})
	}
	updates := c.takeUpdates()
	for _, l := range links {
		is.Equal(len(updates[l].Reports), len(links))
		is.True(updates[l] == updates[links[0]])
	}
}

// Guards against a starting process that spends its time on one log line for each upstream, and displaces other lines.
func TestManyChangedUpstreamsAreLoggedInOneLine(t *testing.T) {
	is := is.New(t)
	c := newUnconnectedCluster(Config{})
	core, lines := observer.New(zap.InfoLevel)
	c.log = zap.New(core)
	var u update
	for i := range 700 {
		u.Entries = append(u.Entries, registry.Entry{ID: strconv.Itoa(i), Service: "s", Address: "10.0.0.1:" + strconv.Itoa(i), State: registry.Ready, Incarnation: 1, Seq: 1})
	}
	c.applyUpdate(&nodelink.Link{Remote: "127.0.0.2:1000"}, u)
	is.Equal(lines.Len(), 1)
	is.Equal(lines.All()[0].ContextMap()["upstreams"], int64(700))
	c.merge(registry.Entry{ID: "1", Service: "s", State: registry.Draining, Incarnation: 1, Seq: 2})
	is.Equal(lines.FilterMessage("upstream").Len(), 1)
}

// Guards against processes that recompute their routing because of an update that they already have from another
// replica, or because of failure reports, which are passed to OnFailures.
func TestRepeatedUpdatesAreNotSignalled(t *testing.T) {
	is := is.New(t)
	c := newUnconnectedCluster(Config{})
	signalled := func() bool {
		select {
		case <-c.Changed():
			return true
		default:
			return false
		}
	}
	link := &nodelink.Link{Remote: "127.0.0.2:1000", Dialed: true}
	other := roster.Report{Alive: true, Node: roster.Node{IP: "127.0.0.3", Incarnation: 1, Seq: 1}}
	u := update{
		Reports: []roster.Report{other},
		Entries: []registry.Entry{{ID: "u", Service: "s", Address: "10.0.0.1:80", State: registry.Ready, Incarnation: 1, Seq: 1}},
	}
	c.applyUpdate(link, u)
	is.True(signalled())
	known := c.Revision()
	c.applyUpdate(link, u)
	c.applyUpdate(&nodelink.Link{Remote: "127.0.0.4:1000", Dialed: true}, u)
	c.applyUpdate(link, update{Failures: failures{"u": 1}})
	is.True(!signalled())
	is.Equal(c.Revision(), known)
	other.Alive = false
	c.applyUpdate(link, update{Reports: []roster.Report{other}}) // another replica still reports it alive
	is.True(!signalled())
	is.Equal(c.Revision(), known)
	c.applyUpdate(&nodelink.Link{Remote: "127.0.0.4:1000", Dialed: true}, update{Reports: []roster.Report{other}})
	is.True(signalled())
	is.True(c.Revision() != known)
}

// BenchmarkFullUpdate measures the cost for a replica of 108 processes that connect at once.
func BenchmarkFullUpdate(b *testing.B) {
	c := newUnconnectedCluster(Config{})
	c.replica = &replica{}
	for i := range 190 {
		id := strconv.Itoa(i)
		c.merge(registry.Entry{ID: id, Service: "s", Address: "10.0.0." + id + ":80", State: registry.Ready, Incarnation: int64(i), Seq: 1})
	}
	for b.Loop() {
		for i := range 108 {
			l := &nodelink.Link{Remote: strconv.Itoa(i)}
			c.subscribe(l)
			c.identify(l, roster.Node{IP: strconv.Itoa(i), Name: "vm", Zone: "z", Incarnation: 1, Seq: 1})
		}
		for _, u := range c.takeUpdates() {
			if u.body == nil {
				if err := u.encode(); err != nil {
					b.Fatal(err)
				}
			}
		}
		c.subscribers = make(map[*nodelink.Link]*subscriber)
	}
}

// Guards against failure reports that are dropped because a full update is due at the same time, as it is just after a
// process has connected.
func TestFailuresAreSentAfterAFullUpdate(t *testing.T) {
	is := is.New(t)
	c := newUnconnectedCluster(Config{})
	c.replica = &replica{}
	l := &nodelink.Link{Remote: "127.0.0.2:1000"}
	(*handler)(c).Opened(l)
	c.relayFailures(nil, failures{"u": 2})
	is.True(nextUpdate(c, l).Failures == nil) // the full update
	is.Equal(nextUpdate(c, l).Failures, failures{"u": 2})
	is.Equal(len(nextUpdate(c, l).Failures), 0)
}
