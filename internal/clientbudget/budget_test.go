package clientbudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const kib = 1 << 10

var start = time.Unix(1000, 0)

// open opens a connection that holds n bytes.
func open(t *testing.T, g *Group, n int64, s State, at time.Time) *Holder {
	t.Helper()
	h, evicted := g.Open(n, func(int64) {}, at)
	is.New(t).True(h != nil)
	is.New(t).Equal(len(evicted), 0)
	h.SetState(s, at)
	return h
}

// Guards against a budget that is exceeded, or from which room is lost, over the life of connections that are refused and evicted.
func TestBudgetIsKept(t *testing.T) {
	is := is.New(t)
	b := New(100 * kib)
	g := b.NewGroup(0, 1)
	a := open(t, g, 40*kib, Running, start)
	c := open(t, g, 40*kib, Running, start)
	ok, evicted := a.Charge(30*kib, start)
	is.True(!ok) // nothing may be closed
	is.Equal(len(evicted), 0)
	is.Equal(b.Stats().Held, int64(80*kib))
	freed := b.Freed()
	c.Release(20 * kib)
	<-freed
	ok, _ = a.Charge(30*kib, start)
	is.True(ok)
	c.Close()
	c.Close()
	c.Release(5) // after the close
	a.Close()
	is.Equal(b.Stats().Held, int64(0))
	is.Equal(b.Stats().Connections, 0)
	is.Equal(b.leaving, int64(0))
}

// Guards against connections that are closed in the wrong order when memory is short.
func TestOrderOfEviction(t *testing.T) {
	is := is.New(t)
	b := New(290 * kib)
	g := b.NewGroup(0, 1)
	open(t, g, 60*kib, Running, start)
	unread := open(t, g, 50*kib, Running, start)
	unread.WriteStarted(start)
	sender := open(t, g, 50*kib, Reading, start.Add(-time.Second))
	newer := open(t, g, 40*kib, Idle, start.Add(2*time.Second))
	older := open(t, g, 40*kib, Idle, start.Add(time.Second))
	now := start.Add(3 * time.Second)
	open(t, g, 50*kib, Reading, now)
	var order []*Holder
	for {
		h, evicted := g.Open(30*kib, func(int64) {}, now)
		if h == nil {
			break
		}
		h.SetState(Running, now)
		order = append(order, evicted...)
		for _, e := range evicted {
			e.Close()
		}
	}
	is.Equal(order, []*Holder{sender, unread, older, newer}) // those whose request runs, and the one that began just now, stay
}

// Guards against large requests that keep out ordinary ones or have their connections closed.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	is := is.New(t)
	b := New(1000 * kib)
	g := b.NewGroup(0, 0.8)
	for range 5 {
		open(t, g, 10*kib, Idle, start)
	}
	served := 0
	for range 10 {
		h := open(t, g, 10*kib, Reading, start)
		ok, evicted := h.Charge(150*kib, start)
		is.Equal(len(evicted), 0)
		if ok {
			h.SetState(Running, start)
			served++
		}
	}
	is.Equal(served, 4)
	ok, _ := open(t, g, 10*kib, Reading, start).Charge(40*kib, start)
	is.True(ok)
}

// Guards against a port that takes more connections than its part of the descriptors, and against a crowd that keeps out new
// callers.
func TestConnectionsOfAPort(t *testing.T) {
	is := is.New(t)
	b := New(0)
	g, other := b.NewGroup(3, 1), b.NewGroup(1, 1)
	open(t, other, 0, Idle, start.Add(-time.Hour))
	oldest := open(t, g, 0, Idle, start)
	open(t, g, 0, Running, start)
	open(t, g, 0, Idle, start.Add(time.Second))
	h, evicted := g.Open(0, func(int64) {}, start.Add(2*time.Second))
	is.Equal(evicted, []*Holder{oldest})
	h.SetState(Running, start)
	oldest.Close()
	h, evicted = g.Open(0, func(int64) {}, start.Add(2*time.Second))
	is.Equal(len(evicted), 1)
	h.SetState(Running, start)
	h, evicted = g.Open(0, func(int64) {}, start.Add(2*time.Second))
	is.True(h == nil) // requests run on all
	is.Equal(len(evicted), 0)
}

// Guards against searches among all connections for each refused request, which take the processor time that ordinary requests
// need.
func TestFailedSearchIsNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	b := New(100 * kib)
	g := b.NewGroup(0, 1)
	open(t, g, 60*kib, Running, start)
	sender := open(t, g, 20*kib, Reading, start)
	h := open(t, g, 10*kib, Reading, start)
	ok, evicted := h.Charge(30*kib, start)
	is.True(!ok && len(evicted) == 0)
	sender.SetState(Idle, start)
	ok, evicted = h.Charge(30*kib, start.Add(failureAge-1))
	is.True(!ok && len(evicted) == 0)
	_, evicted = h.Charge(30*kib, start.Add(failureAge))
	is.Equal(evicted, []*Holder{sender})
}

// Guards against many requests that are about to become large and take the room of ordinary ones meanwhile.
func TestGrowingRequestsLeaveRoom(t *testing.T) {
	is := is.New(t)
	b := New(10000 * kib)
	g := b.NewGroup(0, 0.8)
	for range 300 { // 18 MB if there were room
		h := open(t, g, 10*kib, Reading, start)
		for range 5 {
			if ok, _ := h.Charge(10*kib, start); !ok {
				h.Close()
				break
			}
		}
	}
	is.True(b.Stats().Held > 8000*kib)
	ok, _ := open(t, g, 10*kib, Reading, start).Charge(30*kib, start)
	is.True(ok)
}

// Guards against connections that are closed although their clients read, and against one that is closed twice.
func TestEvictSlow(t *testing.T) {
	is := is.New(t)
	g := New(100*kib).NewGroup(1, 1)
	h := open(t, g, kib, Running, start)
	now := start.Add(2 * slowAfter)
	is.True(!h.EvictSlow(now)) // its request runs
	h.WriteStarted(now)
	is.True(!h.EvictSlow(now.Add(slowAfter)))
	now = now.Add(slowAfter + time.Millisecond)
	is.True(h.EvictSlow(now))
	is.True(!h.EvictSlow(now))
	other := open(t, g, kib, Idle, now) // the only one that the port may have
	other.Close()
	is.True(!other.EvictSlow(now))
}
