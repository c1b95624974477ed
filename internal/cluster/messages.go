package cluster

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/crashguard"
	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/roster"
)

// Methods on links between processes. The numbers are part of the protocol.
const (
	methodNode             nodelink.Method = 1  // one-way, to the dialed process: roster.Node of the dialing process
	methodUpdate           nodelink.Method = 2  // one-way, from the dialed process: update
	methodReplog           nodelink.Method = 3  // one-way, between replicas: replog.Message
	methodAnnounce         nodelink.Method = 4  // call to a replica: registry.Entry; replied to once it is stored (a drain or deregistration: on the disks of a majority)
	methodStore            nodelink.Method = 5  // call between replicas: registry.Entry; replied to once it is on disk
	methodSubmit           nodelink.Method = 6  // call to a replica: leaderRequest; the reply is a routingstate.Result
	methodRead             nodelink.Method = 7  // call to a replica: leaderRequest; the reply is the newest view, compressed
	methodView             nodelink.Method = 8  // call to a replica: viewRequest; the reply is a viewReply
	methodStatus           nodelink.Method = 9  // call: empty body; the reply is a status
	methodFailures         nodelink.Method = 10 // one-way, to a replica, which relays it: failures
	methodCompressedUpdate nodelink.Method = 11 // methodUpdate with a compressed body
	methodLimits           nodelink.Method = 12 // one-way, to a replica, which relays it: limits
	methodViewIndex        nodelink.Method = 13 // call to a replica: leaderRequest; the reply is a viewIndex
	methodTokens           nodelink.Method = 14 // one-way, to a replica: quota.Request
	methodGrant            nodelink.Method = 15 // one-way, from a replica: tokenReply to a methodTokens
	methodRollout          nodelink.Method = 16 // one-way, to a replica: rollout.Report of a gateway
	methodRollouts         nodelink.Method = 17 // one-way, to the leader: the newest rollout.Report of several gateways
	methodOverload         nodelink.Method = 18 // one-way, to a replica, which adds it up and relays the sums: overloadReports
)

// update carries changes from the dialed process to a subscriber.
type update struct {
	Reports []roster.Report  `cbor:"1,keyasint,omitempty"`
	Entries []registry.Entry `cbor:"2,keyasint,omitempty"`
	// ViewIndex is the index of the applied view.
	ViewIndex uint64 `cbor:"3,keyasint,omitempty"`
	// Replicas are control replicas to dial. Only processes without a control replica send them.
	Replicas []roster.Node `cbor:"4,keyasint,omitempty"`
	// Failures are the failed requests that other processes counted.
	Failures failures `cbor:"5,keyasint,omitempty"`
	// Limits are the request limits of upstreams that processes reported.
	Limits limits `cbor:"6,keyasint,omitempty"`
	// CrashRecords are all that the replica has, by fingerprint. Only full updates have them; later losses are in Failures.
	CrashRecords map[string]crashguard.Record `cbor:"7,keyasint,omitempty"`
	// Overload are sums of reports of all processes.
	Overload overloadReports `cbor:"12,keyasint,omitempty"`
}

// failures counts the requests that failed at upstreams, by the upstream's id.
type failures map[string]int

// add adds the counts of more. Upstreams beyond maxFailingUpstreams are dropped.
func (f failures) add(more failures) {
	for id, n := range more {
		if _, known := f[id]; known || len(f) < maxFailingUpstreams {
			f[id] += n
		}
	}
}

// viewIndex is the index of the leader's view. A replica whose own view has that index or a later one can serve a read.
type viewIndex struct {
	Index uint64 `cbor:"1,keyasint,omitempty"`
}

// leaderRequest is the body of the calls that the leader serves: methodSubmit, with a command for the log, and methodRead
// and methodViewIndex, without one.
type leaderRequest struct {
	// Command is compressed: a configuration of 1,400 routes would otherwise take half a second on a link of 6 Mbit/s.
	Command []byte `cbor:"1,keyasint,omitempty"`
	// Forwarded is set when a replica forwards the request to the leader; it is not forwarded a second time.
	Forwarded bool `cbor:"2,keyasint,omitempty"`
}

// status is the reply to a process that checks whether it may create the control group.
type status struct {
	// HasDisk is set if the process has a data directory and so can run a replica.
	HasDisk bool `cbor:"1,keyasint,omitempty"`
	// Bootstrapped is set if the process has found that the control group exists.
	Bootstrapped bool `cbor:"2,keyasint,omitempty"`
}

func encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	return data, errors.Wrap(err, "encode message")
}

// decoder accepts text that is not valid UTF-8, so that one such text does not make the rest of a message unreadable.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

func decode(data []byte, message any) error {
	return errors.Wrap(decoder.Unmarshal(data, message), "decode message")
}
