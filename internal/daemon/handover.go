package daemon

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/controlclient"
	"github.com/bramleypick/bramleypick/internal/gateway"
	"github.com/bramleypick/bramleypick/lease"
)

const (
	// handoverInterval is the pause between two looks at the upstreams that are to be handed over.
	handoverInterval = 20 * time.Millisecond
	// handoverPatience is how long the owner waits for its last requests at an upstream before it hands the upstream over with
	// requests remaining. Short requests end within it; the next owner counts long downloads as occupied slots.
	handoverPatience = time.Second
	releaseTimeout   = 2 * time.Second
)

// handover releases upstreams that the control group wants to give to another gateway.
type handover struct {
	client *controlclient.Client
	lease  *lease.Holder
	status func() gateway.Status
	log    *zap.Logger
	since  map[handoverKey]time.Time
	// needed tells whether an upstream is to be handed over; nil for always. Asking the gateway for its status in each round
	// would wake the scheduler of every service 50 times a second.
	needed func() bool
}

// handoverKey is one assignment that shall end.
type handoverKey struct {
	upstreamID string
	epoch      uint64
}

func newHandover(client *controlclient.Client, l *lease.Holder, status func() gateway.Status, log *zap.Logger) *handover {
	return &handover{client: client, lease: l, status: status, log: log, since: make(map[handoverKey]time.Time)}
}

// run hands upstreams over until ctx ends.
func (h *handover) run(ctx context.Context) {
	ticker := time.NewTicker(handoverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if h.needed != nil && !h.needed() {
				continue
			}
			for _, release := range h.due(now) {
				h.release(ctx, release)
			}
		}
	}
}

// handsOver tells whether a session shall give up an upstream.
func handsOver(view *controlstate.View, sessionID uint64) bool {
	if view == nil {
		return false
	}
	return slices.ContainsFunc(view.Upstreams, func(u controlstate.UpstreamInfo) bool {
		return u.Owner == sessionID && u.MovingTo != 0
	})
}

// due returns the releases that are due: nothing of this gateway is in flight, or the patience ran out. A release reports
// the requests of former owners too, because the next owner must count them as long as they may run.
func (h *handover) due(now time.Time) []controlstate.Release {
	var due []controlstate.Release
	since := make(map[handoverKey]time.Time)
	for _, service := range h.status().Services {
		for _, u := range service.Upstreams {
			if !u.Owned || u.MovingTo == 0 {
				continue
			}
			key := handoverKey{u.ID, u.Epoch}
			start, ok := h.since[key]
			if !ok {
				start = now
			}
			since[key] = start
			if u.InFlight == 0 || now.Sub(start) > handoverPatience {
				due = append(due, controlstate.Release{
					UpstreamID: u.ID, Epoch: u.Epoch, SessionID: h.lease.SessionID(), Remaining: u.Remaining,
				})
			}
		}
	}
	h.since = since
	return due
}

func (h *handover) release(ctx context.Context, release controlstate.Release) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	result, err := h.client.Submit(ctx, controlstate.Command{Kind: controlstate.KindRelease, Release: &release})
	h.log.Debug("upstream released", zap.String("upstream", release.UpstreamID), zap.Uint64("epoch", release.Epoch),
		zap.Int("remaining", release.Remaining), zap.Stringer("code", result.Code), zap.Error(err))
}
