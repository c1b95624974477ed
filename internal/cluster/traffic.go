package cluster

import (
	"strconv"

	"github.com/bramleypick/bramleypick/internal/nodelink"
)

// methodNames are the names of methods in metrics.
var methodNames = map[nodelink.Method]string{
	methodNode: "node", methodUpdate: "update", methodReplog: "replog", methodAnnounce: "announce", methodStore: "store",
	methodSubmit: "submit", methodRead: "read", methodView: "view", methodStatus: "status", methodFailures: "failures",
	methodCompressedUpdate: "compressed_update", methodLimits: "limits", methodViewIndex: "view_index",
	nodelink.TrafficReplies: "replies", nodelink.TrafficPings: "pings",
}

func methodName(m nodelink.Method) string {
	if name, known := methodNames[m]; known {
		return name
	}
	return "method_" + strconv.Itoa(int(m))
}

// OtherZoneTraffic calls f with the bytes of messages to and from processes in other availability zones, by the name of the
// method. Links whose other process is not known yet are not included.
func (c *Cluster) OtherZoneTraffic(f func(method string, sent, received int64)) {
	zones := c.zonesByPeerAddress()
	var total nodelink.Traffic
	c.mu.Lock()
	total.Add(&c.otherZoneTraffic)
	for address, l := range c.dialed {
		if zone := zones[address]; zone != "" && zone != c.cfg.Self.Zone {
			total.Add(&l.Traffic)
		}
	}
	for l, s := range c.subscribers {
		if zone := s.node.Zone; zone != "" && zone != c.cfg.Self.Zone {
			total.Add(&l.Traffic)
		}
	}
	c.mu.Unlock()
	total.Each(func(m nodelink.Method, sent, received int64) { f(methodName(m), sent, received) })
}

// retainTraffic keeps the counts of a link that has closed.
func (c *Cluster) retainTraffic(l *nodelink.Link) {
	zone := ""
	if l.Dialed {
		zone = c.zonesByPeerAddress()[l.Remote]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.subscribers[l]; s != nil {
		zone = s.node.Zone
	}
	if zone != "" && zone != c.cfg.Self.Zone {
		c.otherZoneTraffic.Add(&l.Traffic)
	}
}

func (c *Cluster) zonesByPeerAddress() map[string]string {
	zones := make(map[string]string)
	for _, n := range c.nodes.All() {
		zones[n.PeerAddress] = n.Zone
	}
	return zones
}
