package edge

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/upstreamconn"
	"github.com/bramleypick/bramleypick/routing"
)

// handshakeBytes is the estimated number of bytes that opening and closing a TCP connection takes in both directions together:
// three packets of 60 bytes or less to open it, and four to close it.
const handshakeBytes = 7 * 56

// kindNames are the names of the kinds of requests in metrics.
var kindNames = [...]string{
	routing.Idempotent: "idempotent", routing.NonIdempotent: "non_idempotent", routing.Download: "download", routing.Upload: "upload",
}

// exchangeTraffic counts the bytes of the exchanges of one kind with upstreams in other zones.
type exchangeTraffic struct{ sent, received metrics.Counter }

// trafficMetrics counts new connections to upstreams, and the bytes to and from upstreams in other zones. Headers of TCP and IP
// are not included.
type trafficMetrics struct {
	requests   [len(kindNames)]exchangeTraffic // by routing.Kind
	health     exchangeTraffic
	handshakes metrics.Counter // estimated bytes
	// newForRequests and newForHealth count new connections by reason, those in the own zone included.
	newForRequests, newForHealth [upstreamconn.NewReasonCount]metrics.Counter
	newInOtherZone               metrics.Counter
	// verified counts idle connections that were verified with a health request for a request that may run only once.
	verified metrics.Counter
	// dropping counts the times when an upstream was found to drop idle connections.
	dropping metrics.Counter
}

func newTrafficMetrics(r metrics.Registry) *trafficMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	exchange := func(kind string) exchangeTraffic {
		const prefix = "other_zone.upstreams."
		return exchangeTraffic{counter(prefix + "sent_bytes." + kind), counter(prefix + "received_bytes." + kind)}
	}
	t := &trafficMetrics{
		health: exchange("health"), handshakes: counter("other_zone.upstreams.handshake_bytes"),
		newInOtherZone: counter("other_zone.upstreams.new_connections"), verified: counter("connections.verified"),
		dropping: counter("connections.upstreams_dropping"),
	}
	for kind, name := range kindNames {
		if name != "" {
			t.requests[kind] = exchange(name)
		}
	}
	for reason := upstreamconn.NotNew + 1; reason < upstreamconn.NewReasonCount; reason++ {
		t.newForRequests[reason] = counter("new_connections.requests." + reason.String())
		t.newForHealth[reason] = counter("new_connections.health." + reason.String())
	}
	return t
}

func (t *trafficMetrics) countNew(conn *upstreamconn.Conn, byReason *[upstreamconn.NewReasonCount]metrics.Counter, otherZone bool) {
	if conn.Reused() {
		return
	}
	byReason[conn.NewReason()].Inc(1)
	if otherZone {
		t.newInOtherZone.Inc(1)
		t.handshakes.Inc(handshakeBytes)
	}
}

// countHealth counts a health request that is about to be sent.
func (t *trafficMetrics) countHealth(conn *upstreamconn.Conn, otherZone bool) {
	t.countNew(conn, &t.newForHealth, otherZone)
	if otherZone {
		conn.CountInto(t.health.sent, t.health.received)
	}
}

// countTraffic counts a request that is about to be sent.
func (a *attempt) countTraffic(conn *upstreamconn.Conn) {
	t, otherZone := a.call.g.cfg.Metrics.traffic, a.candidate.Zone != a.call.g.cfg.Zone
	t.countNew(conn, &t.newForRequests, otherZone)
	if otherZone {
		a.call.service.metrics.otherZone.Inc(1)
		kind := t.requests[a.call.route.Kind]
		conn.CountInto(kind.sent, kind.received)
	}
}

// zoneFields returns the fields of a log line that show why the request was sent to another zone.
func (a *attempt) zoneFields() []zap.Field {
	if a.candidate.Zone == a.call.g.cfg.Zone {
		return nil
	}
	fields := []zap.Field{zap.String("zone", a.candidate.Zone)}
	if l := a.local; l.ID != "" {
		fields = append(fields, zap.String("local", l.ID), zap.Duration("local_estimate", l.Estimate), zap.Stringer("local_load", l.Load),
			zap.Duration("local_load_age", l.Age))
	}
	return fields
}
