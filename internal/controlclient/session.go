package controlclient

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/lease"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// openTimeout bounds one attempt to open a session.
	openTimeout = 2 * time.Second
	// watchWait is how long a replica holds a watch open. If no response has arrived callTimeout later, the session watches
	// another replica.
	watchWait = 2 * time.Second
	// watchRetryPause is the pause after a failed watch, so that a replica that is down is not called in a tight loop.
	watchRetryPause = 200 * time.Millisecond
)

// SessionConfig configures a Session.
type SessionConfig struct {
	Client *Client
	// Gateway describes this process; OpenID is set by the session.
	Gateway controlstate.OpenSession
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// SetView puts a view in force. It returns once no new request can start under an older view.
	SetView func(*controlstate.View)
	// Busy lists the upstreams at which this gateway has requests in flight and which are in a planned stop or no longer owned
	// by it. It may be nil.
	Busy func() []controlproto.BusyUpstream
	Log  *zap.Logger
}

// Session keeps this gateway's session lease and view up to date. It extends the lease only after the view received with the
// grant is in force. A gateway that holds a lease therefore uses a configuration that was current when the lease began.
type Session struct {
	cfg    SessionConfig
	lease  lease.Holder
	openID string // OpenID of the session to open, reused while the outcome is unknown; accessed by Run only

	mu   sync.Mutex // guards view and serializes the calls of SetView
	view *controlstate.View
}

// NewSession returns a session. Run opens it.
func NewSession(cfg SessionConfig) *Session {
	return &Session{cfg: cfg}
}

// Lease returns the session's lease.
func (s *Session) Lease() *lease.Holder { return &s.lease }

// View returns the view in force, or nil if there has been none yet.
func (s *Session) View() *controlstate.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Run opens a session and renews it until ctx ends. It opens a new one when a session ends.
func (s *Session) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.watchLoop(ctx) })
	for ctx.Err() == nil {
		id, ok := s.open(ctx)
		if !ok {
			continue
		}
		s.cfg.Log.Info("session opened", zap.Uint64("session", id))
		s.renewLoop(ctx, id)
		s.lease.Drop()
	}
	wg.Wait()
}

// open opens a session. If the outcome of the command is unknown, the next attempt uses the same OpenID. Otherwise an outage
// could leave further sessions behind, which own upstreams and delay changes until they expire.
func (s *Session) open(ctx context.Context) (uint64, bool) {
	command := s.cfg.Gateway
	if s.openID == "" {
		s.openID = rand.Text()
	}
	command.OpenID = s.openID
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	result, err := s.cfg.Client.Submit(ctx, controlstate.Command{Kind: controlstate.KindOpenSession, OpenSession: &command})
	if err != nil || result.Code != resultcode.OK {
		if err == nil {
			s.openID = ""
		}
		s.cfg.Log.Warn("failed to open a session", zap.Error(err), zap.Stringer("code", result.Code))
		_ = sleep(ctx, leaderSearchPause)
		return 0, false
	}
	s.openID = ""
	return result.SessionID, true
}

// renewLoop renews the session until it has ended or ctx ends.
func (s *Session) renewLoop(ctx context.Context, id uint64) {
	for ctx.Err() == nil {
		next := time.Now().Add(s.cfg.RenewInterval)
		if !s.renew(ctx, id) {
			return
		}
		if wait := time.Until(next); wait > 0 {
			_ = sleep(ctx, wait)
		}
	}
}

// renew sends one renewal. It returns false if the session has ended.
func (s *Session) renew(ctx context.Context, id uint64) bool {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	grant, err := s.cfg.Client.Renew(ctx, s.renewRequest(id))
	if err != nil {
		s.cfg.Log.Warn("session renewal failed", zap.Uint64("session", id), zap.Error(err), zap.Duration("lease_remaining", s.lease.Remaining(time.Now())))
		return true
	}
	if grant.Code != resultcode.OK {
		s.cfg.Log.Warn("session renewal refused", zap.Uint64("session", id), zap.Stringer("code", grant.Code))
		return grant.Code != resultcode.UnknownSession
	}
	s.applyView(grant.View)
	s.lease.RecordGrant(id, sentAt, time.Duration(grant.TTLMillis)*time.Millisecond)
	return true
}

func (s *Session) renewRequest(id uint64) controlproto.RenewRequest {
	renew := controlproto.RenewRequest{SessionID: id, NoLease: !s.lease.Valid(time.Now())}
	if v := s.View(); v != nil {
		renew.ViewIndex = v.Index
		if s.lease.SessionID() == id {
			// Before its first lease the session confirms no version: its view may be an older one that a watch received
			// from a lagging replica.
			renew.ConfigVersion = v.ConfigVersion
		}
	}
	if s.cfg.Busy != nil {
		renew.Busy = s.cfg.Busy()
	}
	return renew
}

// applyView puts a view in force unless the current one is as new or newer.
func (s *Session) applyView(v *controlstate.View) {
	if v == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != nil && v.Index <= s.view.Index {
		return
	}
	s.cfg.SetView(v)
	s.view = v
}

// watchLoop fetches new views from one replica at a time, and switches to the next after a failure. applyView ignores older
// views, so a lagging replica does no harm.
func (s *Session) watchLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; {
		replica := s.cfg.Client.watchTarget(i)
		if !s.watch(ctx, replica) {
			i++
			_ = sleep(ctx, watchRetryPause)
		}
	}
}

func (s *Session) watch(ctx context.Context, replica string) bool {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	var index uint64
	if v := s.View(); v != nil {
		index = v.Index
	}
	v, err := s.cfg.Client.Watch(ctx, replica, index, watchWait)
	s.applyView(v)
	return err == nil
}

// watchTarget returns the replica to watch after the given number of failures. The presumed leader comes first, because it
// gets changes first.
func (c *Client) watchTarget(failures int) string {
	order := c.callOrder()
	return order[failures%len(order)]
}
