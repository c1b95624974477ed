package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/internal/peernet"
	"github.com/bramleypick/bramleypick/replog"
)

// messageKind is the first byte of a message between peers.
type messageKind byte

const (
	messageReplog messageKind = 1
	messageLoad   messageKind = 2
)

// errNoControlReplica is returned for a call that only a control replica can serve.
var errNoControlReplica = errors.New("this VM has no control replica")

// peerHandler dispatches the messages, calls and streams of peers to the components of this process.
type peerHandler struct {
	d *Daemon
}

func (h peerHandler) HandleMessage(from string, data []byte) {
	if len(data) == 0 {
		return
	}
	switch messageKind(data[0]) {
	case messageReplog:
		h.receiveReplogMessage(from, data[1:])
	case messageLoad:
		var load controlproto.LoadReport
		if controlproto.Decode(data[1:], &load) == nil {
			h.d.gateway.SetPeerFreeSlots(load.Service, load.SessionID, load.FreeSlots)
		}
	}
}

// receiveReplogMessage passes a message to the control replica. It drops a message whose sender node id does not belong
// to the peer that sent it.
func (h peerHandler) receiveReplogMessage(from string, data []byte) {
	if h.d.replica == nil {
		return
	}
	var m replog.Message
	if controlproto.Decode(data, &m) != nil || h.d.replica.names[m.From] != from {
		return
	}
	h.d.replica.node.Receive(m)
}

func (h peerHandler) HandleCall(ctx context.Context, _ string, data []byte) ([]byte, error) {
	receivedAt := time.Now()
	var request controlproto.Request
	if err := controlproto.Decode(data, &request); err != nil {
		return nil, err
	}
	response, err := h.dispatch(ctx, &request, receivedAt)
	if err != nil {
		return nil, err
	}
	return controlproto.Encode(response)
}

func (h peerHandler) dispatch(ctx context.Context, request *controlproto.Request, receivedAt time.Time) (any, error) {
	if request.Announce != nil {
		return controlproto.AnnounceResponse{Owned: h.d.upstreamRegistry.renew(request.Announce)}, nil
	}
	if h.d.replica == nil {
		return nil, errNoControlReplica
	}
	return h.d.replica.server.Handle(ctx, request, receivedAt)
}

func (h peerHandler) HandleStream(ctx context.Context, _ string, s peernet.Stream) {
	h.d.forwardedInFlight.Add(1)
	defer h.d.forwardedInFlight.Add(-1)
	serveForwarded(ctx, s, h.d.gateway)
}
