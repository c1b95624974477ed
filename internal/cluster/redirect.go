package cluster

import (
	"math/rand/v2"

	"github.com/bramleypick/bramleypick/roster"
)

// ReplicaForRead returns a process with a replica to which a read is better sent than served here. It returns false if this
// process runs a replica itself, or if it knows no replica that it could name. Views at processes without a replica lack the
// sources of the items, and a large view would cross the link of this VM twice. The choice is random, so that a caller that
// cannot reach one replica is sent to another one when it asks again.
func (c *Cluster) ReplicaForRead() (roster.Node, bool) {
	if c.cfg.DataDir != "" {
		return roster.Node{}, false
	}
	var linked []roster.Node
	alive := c.nodes.Alive()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range alive {
		if n.ReplicaID != 0 && n.State == roster.Serving && c.dialed[n.PeerAddress] != nil {
			linked = append(linked, n)
		}
	}
	if len(linked) == 0 {
		return roster.Node{}, false
	}
	return linked[rand.IntN(len(linked))], true
}
