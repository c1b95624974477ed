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
	// handoverInterval is how often the owner checks for upstreams to hand over.
	handoverInterval = 20 * time.Millisecond
	// handoverTimeout bounds how long the owner waits for its requests at an upstream before it hands the upstream over
	// with requests still running. Short requests end within it; the next owner counts long downloads as occupied
	// slots.
	handoverTimeout = time.Second
	releaseTimeout  = 2 * time.Second
)

// handover releases upstreams that the control group is moving to another gateway.
type handover struct {
	client      *controlclient.Client
	lease       *lease.Holder
	status      func() gateway.Status
	log         *zap.Logger
	movingSince map[assignmentKey]time.Time
	// pending reports whether any upstream is to be handed over; nil means always. It avoids calling status on every
	// tick, which would wake the scheduler of every service 50 times a second.
	pending func() bool
}

// assignmentKey identifies the assignment of an upstream to this gateway.
type assignmentKey struct {
	upstreamID string
	epoch      uint64
}

func newHandover(client *controlclient.Client, l *lease.Holder, status func() gateway.Status, log *zap.Logger) *handover {
	return &handover{client: client, lease: l, status: status, log: log, movingSince: make(map[assignmentKey]time.Time)}
}

// run hands upstreams over until ctx is cancelled.
func (h *handover) run(ctx context.Context) {
	ticker := time.NewTicker(handoverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if h.pending != nil && !h.pending() {
				continue
			}
			for _, release := range h.dueReleases(now) {
				h.release(ctx, release)
			}
		}
	}
}

// hasPendingHandover reports whether an upstream owned by the session is moving to another gateway.
func hasPendingHandover(view *controlstate.View, sessionID uint64) bool {
	if view == nil {
		return false
	}
	return slices.ContainsFunc(view.Upstreams, func(u controlstate.UpstreamInfo) bool {
		return u.Owner == sessionID && u.MovingTo != 0
	})
}

// dueReleases returns the releases of moving upstreams at which no request of this gateway is in flight or whose
// handoverTimeout has passed. A release also reports the remaining requests of former owners, because the next owner
// must count them for as long as they may run.
func (h *handover) dueReleases(now time.Time) []controlstate.Release {
	var due []controlstate.Release
	since := make(map[assignmentKey]time.Time)
	for _, service := range h.status().Services {
		for _, u := range service.Upstreams {
			if !u.Owned || u.MovingTo == 0 {
				continue
			}
			key := assignmentKey{u.ID, u.Epoch}
			start, ok := h.movingSince[key]
			if !ok {
				start = now
			}
			since[key] = start
			if u.InFlight == 0 || now.Sub(start) > handoverTimeout {
				due = append(due, controlstate.Release{
					UpstreamID: u.ID, Epoch: u.Epoch, SessionID: h.lease.SessionID(), Remaining: u.Remaining,
				})
			}
		}
	}
	h.movingSince = since
	return due
}

func (h *handover) release(ctx context.Context, release controlstate.Release) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	result, err := h.client.Submit(ctx, controlstate.Command{Kind: controlstate.KindRelease, Release: &release})
	h.log.Debug("submitted the release of an upstream", zap.String("upstream", release.UpstreamID), zap.Uint64("epoch", release.Epoch),
		zap.Int("remaining", release.Remaining), zap.Stringer("code", result.Code), zap.Error(err))
}
