package entrynode

import (
	"context"
	"time"

	"github.com/bramleypick/bramleypick/placement"
	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/roster"
	"github.com/bramleypick/bramleypick/routingstate"
)

// addressTTL is how long clients may cache a reply of the directory. It bounds how long a stopped process gets new
// clients, and costs each client one small request per period.
const addressTTL = 1500 * time.Millisecond

// Announce merges the announcement of an upstream; see cluster.Cluster.Announce.
func (n *Node) Announce(ctx context.Context, e registry.Entry) error {
	return n.cluster.Announce(ctx, e)
}

// Submit commits a change of the configuration or an evacuation; see cluster.Cluster.Submit.
func (n *Node) Submit(ctx context.Context, c routingstate.Command) (routingstate.Result, error) {
	return n.cluster.Submit(ctx, c)
}

// Read returns the newest accepted configuration and evacuations; see cluster.Cluster.Read.
func (n *Node) Read(ctx context.Context) (*routingstate.View, error) { return n.cluster.Read(ctx) }

// ReadRedirect returns the control address of a process that serves reads faster than this one, or "".
func (n *Node) ReadRedirect() string {
	replica, ok := n.cluster.ReplicaForRead()
	if !ok {
		return ""
	}
	return replica.ControlAddress
}

// Ready reports whether clients may be sent to this process.
func (n *Node) Ready() bool { return n.gateway.Ready() && !n.leaving.Load() }

// AnnounceAddress returns the control address to which an upstream should send its next announcements. It is empty
// unless the replica selected for the upstream is in the upstream's availability zone.
func (n *Node) AnnounceAddress(upstream, zone string) string {
	var replicas []placement.Member
	controlAddresses := make(map[string]string)
	for _, node := range n.cluster.Nodes() {
		if node.ReplicaID != 0 && node.State == roster.Serving {
			replicas = append(replicas, placement.Member{Name: node.IP, Zone: node.Zone})
			controlAddresses[node.IP] = node.ControlAddress
		}
	}
	for _, m := range placement.Select(upstream, replicas, 1) {
		if m.Zone == zone {
			return controlAddresses[m.Name]
		}
	}
	return ""
}

// Addresses returns the addresses to which clients of an availability zone should connect, and how long they may cache
// them.
func (n *Node) Addresses(zone string) ([]string, time.Duration) {
	var gateways []placement.Gateway
	for _, node := range n.cluster.Nodes() {
		if node.State == roster.Serving {
			gateways = append(gateways, placement.Gateway{Address: node.ClientAddress, Zone: node.Zone, Replica: node.ReplicaID != 0})
		}
	}
	return placement.ClientAddresses(gateways, zone), min(addressTTL, n.settings.Load().MaxAddressTTL)
}
