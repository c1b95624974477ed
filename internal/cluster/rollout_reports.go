package cluster

import (
	"sync"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/rollout"
)

// maxRolloutReports bounds the gateways whose reports a replica holds.
const maxRolloutReports = 4096

// rolloutReports holds the reports about rollouts that a replica has received and neither used nor sent to the leader. It keeps
// only the newest of each gateway, since reports are cumulative.
type rolloutReports struct {
	mu      sync.Mutex
	pending map[string]rollout.Report // by gateway
	seq     uint64                    // of the last report of this process
}

func (p *rolloutReports) nextSeq() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	return p.seq
}

func (p *rolloutReports) add(reports ...rollout.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == nil {
		p.pending = make(map[string]rollout.Report)
	}
	for _, r := range reports {
		last, known := p.pending[r.Gateway]
		if known && r.Supersedes(&last) || !known && len(p.pending) < maxRolloutReports {
			p.pending[r.Gateway] = r
		}
	}
}

// take returns and clears the reports.
func (p *rolloutReports) take() []rollout.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := make([]rollout.Report, 0, len(p.pending))
	for _, r := range p.pending {
		reports = append(reports, r)
	}
	clear(p.pending)
	return reports
}

// ShareRollout reports what this process has counted for the running rollouts to the leader, through a replica. Each report takes
// another replica than the last, so that one that is frozen or cut off delays the reports but does not hold them up.
func (c *Cluster) ShareRollout(r rollout.Report) {
	self := c.Self()
	r.Gateway, r.Incarnation, r.Seq = self.IP, self.Incarnation, c.rollouts.nextSeq()
	if c.runningReplica() != nil {
		c.rollouts.add(r)
		return
	}
	links := c.links()
	if len(links) == 0 {
		return
	}
	body, err := encode(r)
	if err != nil {
		c.log.Error("failed to encode the rollout report", zap.Error(err))
		return
	}
	links[r.Seq%uint64(len(links))].Send(methodRollout, body)
}

// receiveRollouts stores the reports in a message, which this process uses if it is the leader and forwards otherwise.
func (c *Cluster) receiveRollouts(m nodelink.Method, body []byte) error {
	if c.cfg.Rollouts == nil {
		return nil
	}
	var reports []rollout.Report
	if m == methodRollout {
		reports = make([]rollout.Report, 1)
		if err := decode(body, &reports[0]); err != nil {
			return err
		}
	} else if err := decode(body, &reports); err != nil {
		return err
	}
	c.rollouts.add(reports...)
	return nil
}

// forwardRollouts sends the stored reports to the leader. While the leader is not known, they are dropped: later reports contain
// what they say.
func (c *Cluster) forwardRollouts(leader uint64) {
	reports := c.rollouts.take()
	if len(reports) == 0 {
		return
	}
	n, known := c.nodes.NodeByReplicaID(leader)
	c.mu.Lock()
	l := c.dialed[n.PeerAddress]
	c.mu.Unlock()
	if !known || l == nil {
		return
	}
	body, err := encode(reports)
	if err != nil {
		c.log.Error("failed to encode the rollout reports", zap.Error(err))
		return
	}
	l.Send(methodRollouts, body)
}
