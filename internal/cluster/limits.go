package cluster

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/nodelink"
)

const (
	// limitsInterval is the minimum time between two messages with request limits to the subscribers.
	limitsInterval = 250 * time.Millisecond
	// maxReportedLimits bounds the number of upstreams in a message.
	maxReportedLimits = 4096
)

// limits holds request limits per second by the id of the upstream; a negative value means that the limit has ended.
type limits map[string]float64

// add replaces the limits in more. Upstreams beyond maxReportedLimits are dropped; they are reported again.
func (l limits) add(more limits) {
	for id, perSecond := range more {
		if _, known := l[id]; known || len(l) < maxReportedLimits {
			l[id] = perSecond
		}
	}
}

// ShareLimits reports request limits of upstreams to the other processes. Reports that cannot be sent are dropped, since
// limits in force are reported again.
func (c *Cluster) ShareLimits(reported map[string]float64) {
	if c.runningReplica() != nil {
		c.relayLimits(nil, reported)
		return
	}
	links := c.links()
	if len(links) == 0 {
		return
	}
	body, err := encode(limits(reported))
	if err != nil {
		c.log.Error("failed to encode the request limits", zap.Error(err))
		return
	}
	links[0].Send(methodLimits, body)
}

// relayLimits passes request limits to this process and to all subscribers. The reporter receives its own report again,
// so that one message serves all. A nil link means that this process is the reporter.
func (c *Cluster) relayLimits(from *nodelink.Link, reported limits) {
	c.mu.Lock()
	c.pendingLimits.add(reported)
	signal(c.publishSignal)
	c.mu.Unlock()
	if from != nil {
		c.cfg.OnLimits(reported)
	}
}

// takeLimits returns and clears the limits that were not yet sent. It returns nil until limitsInterval has passed since the
// last message. The caller holds mu.
func (c *Cluster) takeLimits(now time.Time) limits {
	if len(c.pendingLimits) == 0 || now.Sub(c.limitsSentAt) < limitsInterval {
		return nil
	}
	taken := c.pendingLimits
	c.pendingLimits, c.limitsSentAt = make(limits), now
	return taken
}

func (c *Cluster) hasPendingLimits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingLimits) > 0
}
