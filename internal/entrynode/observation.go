package entrynode

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// maxObservations bounds the observations that wait to be shared.
	maxObservations = 1024
	// observationRetryInterval is the pause after an observation could not be shared.
	observationRetryInterval = 250 * time.Millisecond
	// observationTimeout bounds one attempt to share an observation: two replicas can be called.
	observationTimeout = time.Second
)

// observation is what a response of an upstream said of its state: that it leaves, or that it has turned cold.
type observation struct {
	upstream    string
	incarnation int64
	// coldUntil is the end of the warm-up. It is zero if the upstream leaves.
	coldUntil time.Time
}

// queueObservation queues an observation to be shared with the other processes. It does not block.
func (n *Node) queueObservation(o observation) {
	select {
	case n.observations <- o:
	default:
		n.log.Warn("too many upstreams change at once to share all changes", zap.String("upstream", o.upstream))
	}
}

// shareObservations shares observations with the other processes until ctx ends. The upstream's own announcement may be late or
// lost, and most processes then learn of the change before they send the upstream a request.
func (n *Node) shareObservations(ctx context.Context) {
	for {
		var o observation
		select {
		case o = <-n.observations:
		case <-ctx.Done():
			return
		}
		err := n.shareObservation(ctx, o)
		if err == nil {
			continue
		}
		n.log.Warn("failed to share the state of an upstream", zap.String("upstream", o.upstream), zap.Bool("leaving", o.coldUntil.IsZero()),
			zap.Error(err))
		n.queueObservation(o)
		select {
		case <-time.After(observationRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) shareObservation(ctx context.Context, o observation) error {
	ctx, cancel := context.WithTimeout(ctx, observationTimeout)
	defer cancel()
	if o.coldUntil.IsZero() {
		return n.cluster.RecordLeaving(ctx, o.upstream, o.incarnation)
	}
	left := time.Until(o.coldUntil)
	if left <= 0 {
		return nil
	}
	return n.cluster.RecordWarmup(ctx, o.upstream, o.incarnation, left)
}
