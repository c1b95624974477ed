package nodelink

import "sync/atomic"

// trafficKinds bounds the methods that are counted separately; see Traffic. The last two kinds are not methods.
const trafficKinds = 34

// Kinds of frames that have no method, in the result of Traffic.Each.
const (
	TrafficReplies Method = trafficKinds - 2
	TrafficPings   Method = trafficKinds - 1
)

// Traffic counts the bytes of the frames of one or more links, by method. Headers of TCP and IP are not included. Its methods are
// safe for concurrent use.
type Traffic struct {
	sent, received [trafficKinds]atomic.Int64
}

// trafficKind returns the index under which a frame is counted. Methods beyond the range share the index 0.
func (f *frame) trafficKind() Method {
	switch {
	case f.Kind == framePing:
		return TrafficPings
	case f.Kind == frameReply:
		return TrafficReplies
	case f.Method >= TrafficReplies:
		return 0
	}
	return f.Method
}

func (t *Traffic) countSent(f *frame, bytes int)     { t.sent[f.trafficKind()].Add(int64(bytes)) }
func (t *Traffic) countReceived(f *frame, bytes int) { t.received[f.trafficKind()].Add(int64(bytes)) }

// Add adds the counts of another one.
func (t *Traffic) Add(other *Traffic) {
	for i := range trafficKinds {
		t.sent[i].Add(other.sent[i].Load())
		t.received[i].Add(other.received[i].Load())
	}
}

// Each calls f for each kind of frames that were sent or received, with the numbers of bytes.
func (t *Traffic) Each(f func(kind Method, sent, received int64)) {
	for i := range trafficKinds {
		if sent, received := t.sent[i].Load(), t.received[i].Load(); sent+received > 0 {
			f(Method(i), sent, received)
		}
	}
}
