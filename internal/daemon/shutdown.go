package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// leaveTimeout bounds the command that marks the session as leaving, and the one that ends it. If the control group
	// cannot be reached, the process drains nonetheless.
	leaveTimeout = 3 * time.Second
	// drainPollInterval is how often a graceful shutdown checks the conditions that it waits for.
	drainPollInterval = 20 * time.Millisecond
	// addressTTLMargin is added to the TTL of address responses to cover responses that were in transit.
	addressTTLMargin = 250 * time.Millisecond
	// forwardDrainDelay bounds the time until peers learn that this gateway has no free slots: one loadCheckInterval
	// and the transmission, on a busy VM.
	forwardDrainDelay = 250 * time.Millisecond
)

// connectionCloser adds "Connection: close" to responses once it is enabled, so that callers switch to other addresses
// between two requests and never during one.
type connectionCloser struct {
	enabled atomic.Bool
}

func (c *connectionCloser) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.enabled.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// shutdown stops the daemon gracefully. It withdraws this gateway from address responses, keeps serving until the
// responses that callers have cached expire, hands the upstreams over, completes the requests in flight and ends the
// session.
func (d *Daemon) shutdown() error {
	timeout := time.Duration(d.settings.Limits.ShutdownTimeoutMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d.log.Info("graceful shutdown started", zap.Duration("timeout", timeout))
	d.leave(ctx)
	d.sleep(ctx, d.longestAddressTTL()+addressTTLMargin)
	d.connectionCloser.enabled.Store(true)
	var err error
	for _, step := range []func(context.Context) error{
		d.drain, d.gateway.Shutdown, d.awaitForwarded, d.callerServer.Shutdown, d.operatorServer.Shutdown,
	} {
		if stepErr := step(ctx); err == nil {
			err = stepErr
		}
	}
	// End the session even after the timeout, because the other gateways would otherwise wait until its lease expires.
	d.endSession(context.WithoutCancel(ctx))
	d.log.Info("stopped", zap.Error(err))
	return errors.Wrap(err, "graceful shutdown")
}

// leave marks the session as leaving in the control state.
func (d *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	sessionID := d.session.Lease().SessionID()
	result, err := d.client.Submit(ctx, controlstate.Command{
		Kind:         controlstate.KindLeaveSession,
		LeaveSession: &controlstate.LeaveSession{SessionID: sessionID},
	})
	if err != nil || result.Code != resultcode.OK {
		d.log.Warn("failed to mark the session as leaving", zap.Uint64("session", sessionID), zap.Error(err),
			zap.Stringer("code", result.Code))
	}
}

// endSession stops the lease renewals and ends the session, so that other gateways need not wait until its lease
// expires.
func (d *Daemon) endSession(ctx context.Context) {
	sessionID := d.session.Lease().SessionID()
	d.stopRenewals()
	d.renewals.Wait()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := d.client.Submit(ctx, controlstate.Command{
		Kind:          controlstate.KindExpireSession,
		ExpireSession: &controlstate.ExpireSession{SessionID: sessionID},
	})
	if err != nil {
		d.log.Warn("failed to end the session; it ends when its lease expires", zap.Uint64("session", sessionID),
			zap.Error(err))
	}
}

// drain waits until this gateway owns no upstream that another gateway could own. Afterwards requests may still be in
// flight, and new ones may arrive from callers with a stale address: Gateway.Shutdown refuses the new ones and waits
// for the others.
func (d *Daemon) drain(ctx context.Context) error {
	for !d.drained() {
		if !d.sessionLeaving() {
			d.leave(ctx)
			d.sleep(ctx, d.longestAddressTTL()+addressTTLMargin)
		}
		if !d.sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	// Peers forward requests here until they receive a report that this gateway has no free slots.
	d.sleep(ctx, forwardDrainDelay)
	return nil
}

// sessionLeaving reports whether the session is marked as leaving in the current view. It also returns true if there is
// no view or the view does not contain the session. It returns false if the leave command failed, or if the session was
// lost and a new one was opened.
func (d *Daemon) sessionLeaving() bool {
	view := d.session.View()
	if view == nil {
		return true
	}
	info := view.Session(d.session.Lease().SessionID())
	return info == nil || info.Leaving
}

// awaitForwarded waits until peers have received the whole responses to the requests that they forwarded.
func (d *Daemon) awaitForwarded(ctx context.Context) error {
	for d.forwardedInFlight.Load() > 0 {
		if !d.sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// drained reports whether this gateway has nothing left to hand over.
func (d *Daemon) drained() bool {
	view := d.session.View()
	if view == nil || !d.session.Lease().Valid(time.Now()) {
		return true
	}
	if !d.sessionLeaving() {
		return false
	}
	for _, u := range view.Upstreams {
		if u.Owner == d.session.Lease().SessionID() && otherGatewaysServe(view, u.Service, u.Owner) {
			return false
		}
	}
	return true
}

// otherGatewaysServe reports whether a gateway with another session can own upstreams of the service.
func otherGatewaysServe(view *controlstate.View, service string, sessionID uint64) bool {
	for _, info := range controlstate.GatewaysFor(view, service) {
		if info.SessionID != sessionID {
			return true
		}
	}
	return false
}

// longestAddressTTL returns the longest time for which a caller may cache an address response of any service.
func (d *Daemon) longestAddressTTL() time.Duration {
	longest := dynconfig.DefaultAddressTTLMillis
	if view := d.session.View(); view != nil {
		for _, s := range view.Config.Services {
			longest = max(longest, s.WithDefaults().AddressTTLMillis)
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// sleep pauses for duration. It returns false if ctx ended first.
func (d *Daemon) sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
