package entrynode

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// maxDepartures bounds the upstreams whose departure waits to be shared.
	maxDepartures = 1024
	// departureRetryInterval is the pause after a departure could not be shared.
	departureRetryInterval = 250 * time.Millisecond
	// departureTimeout bounds one attempt to share a departure: two replicas can be called.
	departureTimeout = time.Second
)

// departure is an upstream that said in a response that it leaves.
type departure struct {
	upstream    string
	incarnation int64
}

// queueDeparture queues a departure to be shared with the other processes. It does not block.
func (n *Node) queueDeparture(upstream string, incarnation int64) {
	select {
	case n.departures <- departure{upstream, incarnation}:
	default:
		n.log.Warn("too many upstreams leave at once to share all of them", zap.String("upstream", upstream))
	}
}

// shareDepartures shares departures with the other processes until ctx ends. The upstream's own announcement may be late or lost,
// and most processes then learn of the departure before they send it a request.
func (n *Node) shareDepartures(ctx context.Context) {
	for {
		var d departure
		select {
		case d = <-n.departures:
		case <-ctx.Done():
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, departureTimeout)
		err := n.cluster.RecordLeaving(callCtx, d.upstream, d.incarnation)
		cancel()
		if err == nil {
			continue
		}
		n.log.Warn("failed to share that an upstream leaves", zap.String("upstream", d.upstream), zap.Error(err))
		n.queueDeparture(d.upstream, d.incarnation)
		select {
		case <-time.After(departureRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}
