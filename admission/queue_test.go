package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blocked returns a bench whose only upstream is busy with one request.
func blocked(t *testing.T, change func(*Config)) *bench {
	cfg := testConfig()
	change(&cfg)
	b := newBench(t, cfg, owned("u"))
	b.fill(1)
	b.served = nil
	return b
}

// drain completes requests until nothing runs or waits, and returns the order of service.
func (b *bench) drain() []string {
	for b.end("u", Outcome{Result: Succeeded}) {
	}
	return b.served
}

// Guards against a low priority being served first, and against one tenant getting more than its share.
func TestOrderOfService(t *testing.T) {
	is := is.New(t)
	b := blocked(t, func(c *Config) { c.Weights = map[string]int{"heavy": 2}; c.ColdSlots = 1 })
	for i := range 6 {
		b.enqueue(Request{Tenant: "heavy", Value: "heavy" + strconv.Itoa(i)})
	}
	for i := range 3 {
		b.enqueue(Request{Tenant: "light", Value: "light" + strconv.Itoa(i)})
	}
	b.enqueue(Request{Tenant: "light", Priority: 1, Value: "urgent"})
	order := b.drain()
	is.Equal(order[0], "urgent")
	count := map[byte]int{}
	for _, name := range order[1:7] {
		count[name[0]]++
	}
	is.Equal(count['h'], 4) // Twice the share of the other, whatever arrived first.
	is.Equal(count['l'], 2)
}

// Guards against an idle tenant saving up service and then starving the others.
func TestIdleTenantSavesNothing(t *testing.T) {
	is := is.New(t)
	b := blocked(t, func(*Config) {})
	for i := range 40 {
		b.enqueue(Request{Tenant: "busy", Value: "b" + strconv.Itoa(i)})
		b.end("u", Outcome{Result: Succeeded})
	}
	for i := range 4 {
		b.enqueue(Request{Tenant: "busy", Value: "busy" + strconv.Itoa(i)})
		b.enqueue(Request{Tenant: "late", Value: "late" + strconv.Itoa(i)})
	}
	b.served = nil
	order := b.drain()
	busy := 0
	for _, name := range order[:4] {
		if name[0] == 'b' {
			busy++
		}
	}
	is.True(busy >= 1 && busy <= 3)
}

// Guards against a queue beyond its limits and against the wrong request being refused.
func TestQueueLimits(t *testing.T) {
	deadline := time.Unix(1_000_001, 0)
	rows := []struct {
		description string
		last        Request
		rejected    map[string]Reason
	}{
		{"same priority, queue full", Request{Tenant: "c", Value: "x"}, map[string]Reason{"x": ReasonQueueFull}},
		{"higher priority displaces the newest of the longest", Request{Tenant: "c", Priority: 2, Value: "x"},
			map[string]Reason{"a2": ReasonDisplaced}},
		{"lower priority is refused", Request{Tenant: "c", Priority: -1, Value: "x"}, map[string]Reason{"x": ReasonQueueFull}},
		{"tenant at its limit", Request{Tenant: "a", Value: "x"}, map[string]Reason{"x": ReasonTenantLimit}},
		{"tenant at its limit displaces only its own", Request{Tenant: "a", Priority: 2, Value: "x"},
			map[string]Reason{"a2": ReasonDisplaced}},
		{"hedges do not wait", Request{Tenant: "c", NoQueue: true, Value: "x"}, map[string]Reason{"x": ReasonBusy}},
		{"every upstream excluded", Request{Tenant: "c", Exclude: []string{"u"}, Value: "x"}, map[string]Reason{"x": ReasonNoUpstream}},
	}
	for _, row := range rows {
		t.Run(row.description, func(t *testing.T) {
			is := is.New(t)
			b := blocked(t, func(c *Config) { c.QueueLimit, c.TenantLimit = 4, 2 })
			for _, id := range []string{"a1", "a2", "b1", "d1"} {
				b.enqueue(Request{Tenant: id[:1], Value: id, Deadline: deadline})
			}
			b.enqueue(row.last)
			is.Equal(b.rejected, row.rejected)
			is.Equal(b.s.Queued(), 4)
			is.Equal(b.s.Poll(b.now).Wake, deadline)
			b.wait(time.Second)
			for _, id := range []string{"a1", "b1", "d1"} {
				is.Equal(b.rejected[id], ReasonDeadline)
			}
		})
	}
}

// Guards against refusing requests that free slots are waiting for, because many came between two polls.
func TestBurstBetweenPolls(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.QueueLimit, cfg.ColdSlots = 2, 3
	b := newBench(t, cfg, owned("u"))
	for i := range 6 {
		b.s.Enqueue(&Request{Value: strconv.Itoa(i)}, b.now)
	}
	b.poll()
	is.Equal(b.served, []string{"0", "1", "2"})
	is.Equal(b.rejected, map[string]Reason{"5": ReasonQueueFull})
}

// Guards against work reaching an upstream that gets nothing new, and against requests waiting for nothing.
func TestNothingNewForLeavingUpstreams(t *testing.T) {
	for description, change := range map[string]func(*Upstream){
		"stopping":    func(u *Upstream) { u.Stopping = true },
		"moving":      func(u *Upstream) { u.Moving = true },
		"not owned":   func(u *Upstream) { u.Owned = false },
		"out of view": nil,
	} {
		t.Run(description, func(t *testing.T) {
			is := is.New(t)
			b := blocked(t, func(*Config) {})
			b.enqueue(Request{Value: "waiting"})
			if change == nil {
				b.set()
			} else {
				u := owned("u")
				change(&u)
				b.set(u)
			}
			is.Equal(b.rejected["waiting"], ReasonNoUpstream)
			is.Equal(b.s.InFlight("u"), 1)
			b.end("u", Outcome{Result: Succeeded})
			is.Equal(b.s.InFlight("u"), 0)
			b.enqueue(Request{Value: "late"})
			is.Equal(b.rejected["late"], ReasonNoUpstream)
			is.Equal(len(b.served), 0)
		})
	}
}
