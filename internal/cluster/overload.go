package cluster

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/overload"
)

const (
	// overloadInterval is the minimum time between two messages with overload reports to the subscribers.
	overloadInterval = 250 * time.Millisecond
	// maxOverloadedServices bounds the services in a message.
	maxOverloadedServices = 256
	// maxUnanswered is the number of reports without an answer after which they go to another replica. Each replica sends the sums
	// to all processes, also to the reporter, within overloadInterval.
	maxUnanswered = 4
)

// overloadReports are sums of reports of gateways, by service.
type overloadReports map[string]overload.Report

// add adds reports. Services beyond maxOverloadedServices are dropped.
func (o overloadReports) add(more overloadReports) {
	for service, report := range more {
		sum, known := o[service]
		if !known && len(o) >= maxOverloadedServices {
			continue
		}
		sum.Add(report)
		o[service] = sum
	}
}

// overloadRelay holds the overload reports that a replica adds up, and the choice of the replica that gets those of this process.
type overloadRelay struct {
	pending overloadReports // not yet sent to the subscribers
	sentAt  time.Time
	// skipped is the number of replicas that did not answer, and unanswered that of reports since the last answer.
	skipped, unanswered int
}

// ShareOverload reports what this process has counted to all processes, including this one. All processes report to the same
// replica, so that each gets one message with the sums. Reports that cannot be sent are dropped, since newer ones follow.
func (c *Cluster) ShareOverload(reports map[string]overload.Report) {
	link, own := c.overloadReplica()
	if own {
		c.relayOverload(reports)
		return
	}
	if link == nil {
		return
	}
	body, err := encode(overloadReports(reports))
	if err != nil {
		c.log.Error("failed to encode the overload reports", zap.Error(err))
		return
	}
	link.Send(methodOverload, body)
}

// overloadReplica returns the link to the replica that gets the reports, or own if it is this process. It is the first one by
// address that answers.
func (c *Cluster) overloadReplica() (link *nodelink.Link, own bool) {
	isReplica := c.runningReplica() != nil
	var addresses []string
	for _, n := range c.nodes.Alive() {
		if n.ReplicaID != 0 && n.IP != c.cfg.Self.IP {
			addresses = append(addresses, n.PeerAddress)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return c.dialed[address] == nil })
	if isReplica {
		addresses = append(addresses, c.cfg.Self.PeerAddress)
	}
	if len(addresses) == 0 {
		return nil, false
	}
	slices.SortFunc(addresses, strings.Compare)
	o := &c.overload
	if o.unanswered >= maxUnanswered {
		o.skipped, o.unanswered = o.skipped+1, 0
	}
	o.unanswered++
	address := addresses[o.skipped%len(addresses)]
	return c.dialed[address], isReplica && address == c.cfg.Self.PeerAddress
}

// relayOverload adds reports to those for all subscribers and this process.
func (c *Cluster) relayOverload(reports overloadReports) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overload.pending.add(reports)
	signal(c.publishSignal)
}

// receiveOverload passes on the sums from a replica.
func (c *Cluster) receiveOverload(reports overloadReports) {
	c.mu.Lock()
	c.overload.unanswered = 0
	c.mu.Unlock()
	c.cfg.OnOverload(reports)
}

// takeOverload returns and clears the reports that were not yet sent, and passes them on to this process. It returns nil until
// overloadInterval has passed since the last message. The caller holds mu.
func (c *Cluster) takeOverload(now time.Time) overloadReports {
	o := &c.overload
	if len(o.pending) == 0 || now.Sub(o.sentAt) < overloadInterval {
		return nil
	}
	taken := o.pending
	o.pending, o.sentAt, o.unanswered = make(overloadReports), now, 0
	c.cfg.OnOverload(taken)
	return taken
}

func (c *Cluster) hasPendingOverload() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.overload.pending) > 0
}
