package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/controlclient"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/lease"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// upstreamTTL is how long an upstream is kept without an announcement: five renewal intervals of one second.
	upstreamTTL = 5 * time.Second
	// expiryCheckInterval is how often the registry checks for expired upstreams.
	expiryCheckInterval = 500 * time.Millisecond
	// registrationRate, in commands per second, and registrationBurst limit the registrations that one process submits,
	// so that announcements cannot flood the replicated log. A service of 40 upstreams can register within the burst.
	registrationRate  = 50
	registrationBurst = 100
	// announceTimeout bounds the handling of one announcement.
	announceTimeout = 2 * time.Second
	maxIDBytes      = 128
)

// upstreamRegistry handles the announcements of upstreams. It registers new upstreams with the control group and tracks
// the liveness of the upstreams that this gateway owns. A renewal is an announcement that changes nothing in the
// registration of its upstream.
type upstreamRegistry struct {
	client    *controlclient.Client
	transport controlclient.Transport
	lease     *lease.Holder
	view      func() *controlstate.View
	// inFlight returns the number of requests that may run at an upstream. It is nil until the gateway is created.
	inFlight func(upstreamID string) int
	limiter  *rate.Limiter
	log      *zap.Logger

	mu            sync.Mutex
	lastAnnounced map[string]time.Time // By upstream id, for the upstreams that this gateway owns.
}

func newUpstreamRegistry(client *controlclient.Client, transport controlclient.Transport, l *lease.Holder, view func() *controlstate.View, log *zap.Logger) *upstreamRegistry {
	return &upstreamRegistry{
		client: client, transport: transport, lease: l, view: view, log: log,
		limiter:       rate.NewLimiter(registrationRate, registrationBurst),
		lastAnnounced: make(map[string]time.Time),
	}
}

// announce handles an announcement that an upstream sent to this gateway.
func (u *upstreamRegistry) announce(ctx context.Context, id string, a api.Announcement) (api.AnnouncementResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := validateAnnouncement(id, a); err != nil {
		return api.AnnouncementResponse{}, err
	}
	view := u.view()
	if view == nil {
		return api.AnnouncementResponse{}, resultcode.Errorf(resultcode.ControlUnavailable, "the gateway has no view of the control state yet")
	}
	if view.Config.Service(a.Service) == nil || !view.Config.HasZone(a.Zone) {
		// Refused before a command is submitted, so that upstreams that are not configured yet do not fill the
		// replicated log.
		return api.AnnouncementResponse{}, resultcode.Errorf(resultcode.UnknownService, "no service %q or no availability zone %q", a.Service, a.Zone)
	}
	info := view.Upstream(id)
	if info == nil || registrationChanged(info, a) {
		return u.register(ctx, id, a)
	}
	owner := view.Session(info.Owner)
	response := api.AnnouncementResponse{TTLMillis: upstreamTTL.Milliseconds()}
	if owner == nil {
		return response, nil
	}
	response.RenewAt = owner.CallerAddress
	renewal := controlproto.AnnounceRequest{UpstreamID: id, BootID: a.BootID, InFlight: a.InFlight}
	if !u.renew(&renewal) {
		u.forwardRenewal(ctx, owner.Gateway, renewal)
	}
	return response, nil
}

func (u *upstreamRegistry) register(ctx context.Context, id string, a api.Announcement) (api.AnnouncementResponse, error) {
	if !u.limiter.Allow() {
		return api.AnnouncementResponse{}, resultcode.Errorf(resultcode.UpstreamLimit, "too many registrations a second at this gateway")
	}
	result, err := u.client.Submit(ctx, controlstate.Command{
		Kind: controlstate.KindRegisterUpstream,
		RegisterUpstream: &controlstate.RegisterUpstream{
			ID: id, Service: a.Service, Address: a.Address, Zone: a.Zone, BootID: a.BootID, Slots: a.Slots, MaxConnections: a.MaxConnections,
		},
	})
	if err != nil {
		return api.AnnouncementResponse{}, err
	}
	if result.Code != resultcode.OK {
		return api.AnnouncementResponse{}, &resultcode.Error{Code: result.Code, Message: result.Message}
	}
	return api.AnnouncementResponse{TTLMillis: upstreamTTL.Milliseconds()}, nil
}

// forwardRenewal forwards a renewal to the gateway that owns the upstream. It does not retry, because the upstream's
// next renewal replaces a lost one.
func (u *upstreamRegistry) forwardRenewal(ctx context.Context, owner string, renewal controlproto.AnnounceRequest) {
	data, err := controlproto.Encode(&controlproto.Request{Announce: &renewal})
	if err != nil {
		return
	}
	if _, err := u.transport.Call(ctx, owner, data); err != nil {
		u.log.Debug("failed to forward an upstream's renewal to its owner", zap.String("upstream", renewal.UpstreamID),
			zap.String("owner", owner), zap.Error(err))
	}
}

// renew records that an upstream is alive. It returns false if this gateway does not own the upstream.
func (u *upstreamRegistry) renew(renewal *controlproto.AnnounceRequest) bool {
	view := u.view()
	if view == nil {
		return false
	}
	info := view.Upstream(renewal.UpstreamID)
	if info == nil || info.Owner == 0 || info.Owner != u.lease.SessionID() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastAnnounced[renewal.UpstreamID] = time.Now()
	return true
}

// run removes owned upstreams whose announcements have expired, until ctx is cancelled.
func (u *upstreamRegistry) run(ctx context.Context) {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, info := range u.expired(now) {
				u.remove(ctx, info)
			}
		}
	}
}

// expired returns the owned upstreams whose last announcement is older than upstreamTTL. The TTL of a newly owned
// upstream starts now, and the entries of upstreams that this gateway does not own are dropped. Without a valid lease
// no upstream expires, because its announcements may have gone to a new owner.
func (u *upstreamRegistry) expired(now time.Time) []controlstate.UpstreamInfo {
	view := u.view()
	u.mu.Lock()
	defer u.mu.Unlock()
	if view == nil || !u.lease.Valid(now) {
		clear(u.lastAnnounced)
		return nil
	}
	var expired []controlstate.UpstreamInfo
	owned := make(map[string]time.Time)
	for _, info := range view.Upstreams {
		if info.Owner != u.lease.SessionID() {
			continue
		}
		last, ok := u.lastAnnounced[info.ID]
		if !ok {
			last = now
		}
		owned[info.ID] = last
		// An upstream with requests in flight stays in the control state, so that a planned stop waits for them.
		if now.Sub(last) > upstreamTTL && u.inFlight(info.ID) == 0 {
			expired = append(expired, info)
		}
	}
	u.lastAnnounced = owned
	return expired
}

func (u *upstreamRegistry) remove(ctx context.Context, info controlstate.UpstreamInfo) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	result, err := u.client.Submit(ctx, controlstate.Command{
		Kind:           controlstate.KindRemoveUpstream,
		RemoveUpstream: &controlstate.RemoveUpstream{ID: info.ID, BootID: info.BootID, SessionID: info.Owner},
	})
	u.log.Info("submitted the removal of an upstream without a recent announcement",
		zap.String("upstream", info.ID), zap.Stringer("code", result.Code), zap.Error(err))
}

// registrationChanged reports whether an announcement differs from the upstream's registration.
func registrationChanged(info *controlstate.UpstreamInfo, a api.Announcement) bool {
	return info.Service != a.Service || info.Address != a.Address || info.Zone != a.Zone ||
		info.BootID != a.BootID || info.Slots != a.Slots || info.MaxConnections != a.MaxConnections
}

func validateAnnouncement(id string, a api.Announcement) error {
	for _, field := range []struct{ name, value string }{
		{"id", id}, {"service", a.Service}, {"zone", a.Zone}, {"boot_id", a.BootID},
	} {
		if field.value == "" || len(field.value) > maxIDBytes {
			return resultcode.Errorf(resultcode.MalformedBody, "%s must have 1 to %d bytes", field.name, maxIDBytes)
		}
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return resultcode.Errorf(resultcode.MalformedBody, "address %q is not an IP number and a port", a.Address)
	}
	return nil
}
