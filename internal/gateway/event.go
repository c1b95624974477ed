package gateway

import (
	"time"

	"github.com/bramleypick/bramleypick/admission"
)

// eventKind determines which fields of an event are set.
type eventKind uint8

const (
	eventEnqueue       eventKind = iota + 1 // waiter
	eventCancel                             // waiter
	eventResponded                          // assignment, outcome.Latency, outcome.Report
	eventDone                               // assignment, outcome
	eventProbeDone                          // probe, probeResult
	eventView                               // update
	eventPeerFreeSlots                      // session, freeSlots
	eventStatus                             // status
)

// event is a message to the scheduler goroutine of a service.
type event struct {
	kind        eventKind
	waiter      *waiter
	assignment  admission.Assignment
	outcome     admission.Outcome
	probe       admission.Probe
	probeResult admission.ProbeResult
	update      *schedulerUpdate
	session     uint64
	freeSlots   int
	status      chan<- ServiceStatus
}

// waiter is a queued request with the channel for its single grant.
type waiter struct {
	request admission.Request
	// mayForward is true for a request that came directly from a caller and that cannot have run yet.
	mayForward bool
	grant      chan grant
}

func newWaiter(request admission.Request) *waiter {
	w := &waiter{request: request, grant: make(chan grant, 1)}
	w.request.Value = w
	return w
}

// grant ends the wait of a request. Exactly one of its outcomes is set.
type grant struct {
	assignment admission.Assignment
	assigned   bool
	reason     admission.Reason
	// forwardTo is the session of the peer to forward the request to.
	forwardTo uint64
	cancelled bool
}

// peerReport is the latest report of free slots from a peer.
type peerReport struct {
	freeSlots  int
	receivedAt time.Time
}
