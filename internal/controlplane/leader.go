package controlplane

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// leaderLoopInterval is the pause between two runs of the leader's tasks.
	leaderLoopInterval = 50 * time.Millisecond
	// proposeTimeout bounds one proposal that the leader itself makes.
	proposeTimeout = 2 * time.Second
	// maxParallelProposals bounds the assignments proposed concurrently. Concurrent proposals share an fsync; the bound keeps
	// them from filling the proposal queue of controlnode, which holds 1,024 and is shared with the commands of gateways.
	maxParallelProposals = 32
	// voterCheckInterval is the minimum time between two checks of the set of voters.
	voterCheckInterval = time.Second
)

// Run performs the leader's tasks while this replica leads, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var state leaderLoopState
	for {
		timer := time.NewTimer(leaderLoopInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			s.runLeaderTasks(ctx, &state)
		}
	}
}

// leaderLoopState is the state that Run keeps between iterations.
type leaderLoopState struct {
	term              uint64 // last term that startTerm prepared
	lastVoterCheck    time.Time
	desiredVotersView *controlstate.View // view from which the desired voters were last set
}

func (s *Server) runLeaderTasks(ctx context.Context, state *leaderLoopState) {
	if view := s.views.current(); view != state.desiredVotersView {
		// Set on every replica, because a new leader promotes its desired voters immediately.
		state.desiredVotersView = view
		s.cfg.Node.SetDesiredVoters(s.desiredVoters(view))
	}
	term, leading := s.leaderTerm()
	if !leading {
		return
	}
	if term != state.term && !s.startTerm(ctx, term) {
		return
	}
	state.term = term
	now := time.Now()
	view := s.views.current()
	s.leases.Sync(now, sessionIDs(view))
	s.renewals.removeEnded(view)
	s.expireSessions(ctx, term, now)
	s.assignUpstreams(ctx)
	if now.Sub(state.lastVoterCheck) >= voterCheckInterval {
		state.lastVoterCheck = now
		s.adjustVoters(ctx)
	}
}

// startTerm resets the leases and the renewal records for a new term, once the state contains every command that earlier
// leaders committed. It reports whether it succeeded.
func (s *Server) startTerm(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.cfg.Node.ReadBarrier(ctx); err != nil {
		return false
	}
	now := time.Now()
	s.renewals.reset(term)
	s.leases.Reset(term, now, sessionIDs(s.views.current()))
	s.cfg.Log.Info("became leader of the control group", zap.Uint64("term", term))
	return true
}

// expireSessions ends the sessions whose leases have expired. The lease table refuses their renewal from this decision on,
// so a session that is ended here holds no lease. The decision is valid in this term only: a leader elected in the meantime
// may have renewed the session, and this replica may lead a later term by the time the preceding proposals have failed.
func (s *Server) expireSessions(ctx context.Context, term uint64, now time.Time) {
	for _, id := range s.leases.Expired(now) {
		if current, leading := s.leaderTerm(); !leading || current != term {
			return
		}
		gateway := ""
		if info := s.views.current().Session(id); info != nil {
			gateway = info.Gateway
		}
		s.proposeAsLeader(ctx, controlstate.Command{Kind: controlstate.KindExpireSession, ExpireSession: &controlstate.ExpireSession{SessionID: id}})
		s.cfg.Log.Warn("session lease expired", zap.Uint64("session", id), zap.String("gateway", gateway))
	}
}

func (s *Server) assignUpstreams(ctx context.Context) {
	var commands []controlstate.Command
	s.cfg.Node.Query(func() { commands = s.cfg.Machine.PlanAssignments() })
	var wg sync.WaitGroup
	limit := make(chan struct{}, maxParallelProposals)
	for _, command := range commands {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			s.proposeAsLeader(ctx, command)
		})
	}
	wg.Wait()
}

func (s *Server) proposeAsLeader(ctx context.Context, command controlstate.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.propose(ctx, command)
	if err != nil || result.Code != resultcode.OK {
		s.cfg.Log.Debug("command proposed by the leader failed or has an unknown outcome", zap.Uint8("kind", uint8(command.Kind)), zap.Stringer("code", result.Code), zap.Error(err))
	}
}

func sessionIDs(view *controlstate.View) []uint64 {
	ids := make([]uint64, len(view.Sessions))
	for i, s := range view.Sessions {
		ids[i] = s.SessionID
	}
	return ids
}
