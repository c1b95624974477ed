package roster

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// DeadNodeRetention is how long a node is kept after all replicas have lost it.
	DeadNodeRetention = time.Minute
	// UnconfirmedRetention is how long a node stays alive after the connection to the last replica that reported it as alive was
	// lost, while there is a connection to another one. If all replicas restart, the processes connect to them again within that
	// time.
	UnconfirmedRetention = 3 * time.Second
)

// Roster merges the reports of all control replicas. It is safe for concurrent use.
type Roster struct {
	mu    sync.Mutex
	nodes map[string]*record
	// revision is incremented with each change of the result of Alive.
	revision uint64
	// connected are the replicas to which there is a connection, and connectedSince is when there was the first of them.
	connected      map[string]bool
	connectedSince time.Time
}

type record struct {
	node Node
	// reportedAliveBy holds the replicas that report the current incarnation as alive.
	reportedAliveBy map[string]bool
	lostAt          time.Time // time of the latest removal from reportedAliveBy
	// unconfirmedSince is when the connection to the only replica in reportedAliveBy was lost. It is zero if that is not the case.
	unconfirmedSince time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{nodes: make(map[string]*record), connected: make(map[string]bool)}
}

// AddReporter records a connection to a control replica. DropReports ends it.
func (r *Roster) AddReporter(reporter string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.connected) == 0 {
		r.connectedSince = now
	}
	r.connected[reporter] = true
}

// Report merges a report of a control replica, which is identified by its peer address. It reports whether anything changed.
func (r *Roster) Report(reporter string, report Report, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.nodes[report.Node.IP]
	if rec == nil {
		if !report.Alive {
			return false
		}
		rec = &record{node: report.Node, reportedAliveBy: make(map[string]bool)}
		r.nodes[report.Node.IP] = rec
	}
	changed, wasAlive := false, len(rec.reportedAliveBy) > 0
	defer func() {
		if changed || wasAlive != (len(rec.reportedAliveBy) > 0) {
			r.revision++
		}
	}()
	if report.Node.supersedes(&rec.node) {
		if report.Node.Incarnation != rec.node.Incarnation {
			clear(rec.reportedAliveBy)
			rec.unconfirmedSince = time.Time{}
		}
		rec.node, changed = report.Node, true
	}
	if report.Node.Incarnation != rec.node.Incarnation {
		return false // about an earlier incarnation
	}
	if report.Alive && !rec.unconfirmedSince.IsZero() {
		clear(rec.reportedAliveBy) // the replica that reported it before may know better meanwhile
		rec.reportedAliveBy[reporter], rec.unconfirmedSince = true, time.Time{}
		return true
	}
	if rec.reportedAliveBy[reporter] == report.Alive {
		return changed
	}
	if report.Alive {
		rec.reportedAliveBy[reporter] = true
	} else {
		delete(rec.reportedAliveBy, reporter)
		rec.lostAt = now
	}
	return true
}

// DropReports drops the reports of a reporter, because the connection to it is lost. A node that no other replica reports as
// alive stays alive until the reporter reports it as dead, or until UnconfirmedRetention has passed with a connection to another
// replica. So a process that is isolated from every replica keeps its last known state.
func (r *Roster) DropReports(reporter string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connected, reporter)
	for _, rec := range r.nodes {
		if !rec.reportedAliveBy[reporter] {
			continue
		}
		if len(rec.reportedAliveBy) > 1 {
			delete(rec.reportedAliveBy, reporter)
			rec.lostAt = now
		} else if rec.unconfirmedSince.IsZero() {
			rec.unconfirmedSince = now
		}
	}
}

// unconfirmedTooLong reports whether a node has been unconfirmed for UnconfirmedRetention. The caller holds mu.
func (r *Roster) unconfirmedTooLong(rec *record, now time.Time) bool {
	if rec.unconfirmedSince.IsZero() || len(r.connected) == 0 || len(rec.reportedAliveBy) == 0 {
		return false
	}
	since := rec.unconfirmedSince
	if r.connectedSince.After(since) {
		since = r.connectedSince
	}
	return now.Sub(since) >= UnconfirmedRetention
}

// IsAlive reports whether at least one replica reports the node as alive.
func (r *Roster) IsAlive(ip string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.nodes[ip]
	return rec != nil && len(rec.reportedAliveBy) > 0
}

// Revision returns a number that increases with each change of the result of Alive.
func (r *Roster) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// All returns all nodes, alive or dead, in unspecified order.
func (r *Roster) All() []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Node, 0, len(r.nodes))
	for _, rec := range r.nodes {
		all = append(all, rec.node)
	}
	return all
}

// Alive returns the nodes that at least one replica reports as alive, sorted by IP.
func (r *Roster) Alive() []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	alive := make([]Node, 0, len(r.nodes))
	for _, rec := range r.nodes {
		if len(rec.reportedAliveBy) > 0 {
			alive = append(alive, rec.node)
		}
	}
	slices.SortFunc(alive, func(a, b Node) int { return strings.Compare(a.IP, b.IP) })
	return alive
}

// NodeByReplicaID returns the node that runs the control replica with the given id, alive or dead.
func (r *Roster) NodeByReplicaID(id uint64) (Node, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range r.nodes {
		if rec.node.ReplicaID == id {
			return rec.node, true
		}
	}
	return Node{}, false
}

// Expire drops nodes that have been dead for DeadNodeRetention, and records those as dead that have been unconfirmed for
// UnconfirmedRetention. It returns the latter.
func (r *Roster) Expire(now time.Time) (lost []Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ip, rec := range r.nodes {
		if r.unconfirmedTooLong(rec, now) {
			clear(rec.reportedAliveBy)
			rec.lostAt, rec.unconfirmedSince = now, time.Time{}
			r.revision++
			lost = append(lost, rec.node)
		}
		if len(rec.reportedAliveBy) == 0 && now.Sub(rec.lostAt) >= DeadNodeRetention {
			delete(r.nodes, ip)
		}
	}
	return lost
}
