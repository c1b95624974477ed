package cluster

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/nodelink"
)

const (
	// failuresInterval is the minimum time between two failure reports to a process. Upstreams that fail do so for
	// seconds.
	failuresInterval = 250 * time.Millisecond
	// maxFailingUpstreams bounds the number of upstreams in a message. With more, most upstreams fail, and a longer
	// list adds little.
	maxFailingUpstreams = 1024
)

// ShareFailures reports to the other processes how many requests of this process failed, by upstream id. Reports that
// cannot be sent are dropped, since they are soon out of date.
func (c *Cluster) ShareFailures(counts map[string]int) {
	if c.runningReplica() != nil {
		c.relayFailures(nil, counts)
		return
	}
	links := c.links()
	if len(links) == 0 {
		return
	}
	body, err := encode(failures(counts))
	if err != nil {
		c.log.Error("failed to encode the failure report", zap.Error(err))
		return
	}
	links[0].Send(methodFailures, body)
}

// relayFailures passes a failure report to this process and to all subscribers except the reporter. A nil link means
// that this process is the reporter.
func (c *Cluster) relayFailures(from *nodelink.Link, counts failures) {
	c.mu.Lock()
	for l, s := range c.subscribers {
		if l != from {
			s.failures.add(counts)
		}
	}
	signal(c.publishSignal)
	c.mu.Unlock()
	if from != nil {
		c.cfg.OnFailures(counts)
	}
}

// takeFailures returns and clears the failures that were not yet sent to the subscriber, unless failuresInterval has
// not passed since the last report. The caller holds mu.
func (s *subscriber) takeFailures(now time.Time) failures {
	if len(s.failures) == 0 || now.Sub(s.failuresSentAt) < failuresInterval {
		return nil
	}
	taken := s.failures
	s.failures, s.failuresSentAt = make(failures), now
	return taken
}

// hasPendingFailures reports whether failures are held back for a subscriber.
func (c *Cluster) hasPendingFailures() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subscribers {
		if len(s.failures) > 0 {
			return true
		}
	}
	return false
}
