// Package controlplane implements the server side of the control protocol. Every replica serves lease renewals, watches,
// commands and status requests. The leader also expires sessions, assigns upstreams to gateways and adjusts the voters.
//
// Guarantee: a replica grants a lease only if it confirmed its leadership with a quorum after it received the renewal. The
// session must exist in the state at that point, and the replica must not have decided in this term to expire it.
package controlplane

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/controlnode"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/lease"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/resultcode"
)

// maxWatchWait bounds how long a watch is held open, whatever wait the gateway requests.
const maxWatchWait = 10 * time.Second

// errMalformedCommand is returned for a command that cannot be encoded and was not appended to the log.
var errMalformedCommand = errors.New("malformed command")

// Node is the replicated log's node on which the server runs.
type Node interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
	ReadBarrier(ctx context.Context) (uint64, error)
	ChangeMembership(ctx context.Context, change replog.MembershipChange) error
	Status() replog.Status
	SetDesiredVoters(ids []replog.NodeID)
	Query(f func())
}

// Config configures a Server.
type Config struct {
	Node    Node
	Machine *controlstate.Machine
	// Replicas maps node ids to the configured control replicas.
	Replicas map[replog.NodeID]Replica
	// SessionTTL is the duration of a lease.
	SessionTTL time.Duration
	Log        *zap.Logger
}

// Replica is a configured control replica.
type Replica struct {
	Name string
	Zone string
}

// Server serves calls from gateways on one control replica and runs the leader's tasks while the replica leads.
type Server struct {
	cfg      Config
	leases   *lease.Table
	views    *viewFeed
	renewals *renewalTracker
}

// New returns a server. The caller calls PublishView after each applied command, and Run for the leader's tasks.
func New(cfg Config) *Server {
	return &Server{
		cfg:      cfg,
		leases:   lease.NewTable(cfg.SessionTTL),
		views:    newViewFeed(cfg.Machine.View()),
		renewals: newRenewalTracker(),
	}
}

// PublishView passes the state machine's current view to waiting watches. It is called on the apply goroutine.
func (s *Server) PublishView() {
	s.views.publish(s.cfg.Machine.View())
}

// Handle serves one call received at receivedAt and returns the response to encode.
func (s *Server) Handle(ctx context.Context, request *controlproto.Request, receivedAt time.Time) (any, error) {
	switch {
	case request.Renew != nil:
		return s.renew(ctx, request.Renew, receivedAt), nil
	case request.Watch != nil:
		return s.watch(ctx, request.Watch), nil
	case request.Submit != nil:
		return s.submit(ctx, request.Submit), nil
	case request.Status != nil:
		return s.status(ctx), nil
	}
	return nil, errors.New("request without a known field")
}

func (s *Server) renew(ctx context.Context, renew *controlproto.RenewRequest, receivedAt time.Time) controlproto.RenewResponse {
	term, ok := s.leaderTerm()
	if !ok {
		return controlproto.RenewResponse{Code: resultcode.NotLeader, Leader: s.leaderName()}
	}
	if _, err := s.cfg.Node.ReadBarrier(ctx); err != nil {
		return controlproto.RenewResponse{Code: resultcode.NoQuorum}
	}
	view := s.views.current()
	session := view.Session(renew.SessionID)
	if session == nil {
		return controlproto.RenewResponse{Code: resultcode.UnknownSession}
	}
	if noLeaseSince := s.renewals.trackNoLease(renew, receivedAt); !noLeaseSince.IsZero() && receivedAt.Sub(noLeaseSince) > s.cfg.SessionTTL/2 {
		// Renewals reach the leader, but grants do not reach the gateway. Without this refusal the session would keep its
		// upstreams for as long as that lasts, although the gateway holds no lease and starts no requests there.
		return controlproto.RenewResponse{Code: resultcode.UnknownSession}
	}
	ttl, ok := s.leases.Renew(term, renew.SessionID, receivedAt)
	if !ok {
		return controlproto.RenewResponse{Code: resultcode.NotLeader}
	}
	s.renewals.record(term, session.Gateway, renew, receivedAt)
	grant := controlproto.RenewResponse{TTLMillis: ttl.Milliseconds()}
	if view.Index > renew.ViewIndex {
		grant.View = view
	}
	return grant
}

func (s *Server) watch(ctx context.Context, watch *controlproto.WatchRequest) controlproto.WatchResponse {
	wait := time.Duration(min(watch.WaitMillis, maxWatchWait.Milliseconds())) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return controlproto.WatchResponse{View: s.views.awaitNewer(ctx, watch.ViewIndex)}
}

func (s *Server) submit(ctx context.Context, submit *controlproto.SubmitRequest) controlproto.SubmitResponse {
	result, err := s.propose(ctx, submit.Command)
	switch {
	case err == nil:
		return controlproto.SubmitResponse{Result: result}
	case errors.Is(err, controlnode.ErrNotLeader):
		return controlproto.SubmitResponse{Code: resultcode.NotLeader, Leader: s.leaderName()}
	case errors.Is(err, replog.ErrTooLarge):
		return controlproto.SubmitResponse{Result: controlstate.Result{Code: resultcode.BodyTooLarge, Message: err.Error()}}
	case errors.Is(err, errMalformedCommand):
		return controlproto.SubmitResponse{Result: controlstate.Result{Code: resultcode.MalformedCommand, Message: err.Error()}}
	default:
		return controlproto.SubmitResponse{Code: resultcode.ChangeOutcomeUnknown}
	}
}

// propose sets a command's time from this replica's clock, proposes it, and returns the result once it is applied.
func (s *Server) propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	command.AtUnixMilli = time.Now().UnixMilli()
	data, err := controlstate.EncodeCommand(command)
	if err != nil {
		return controlstate.Result{}, errors.Wrap(errMalformedCommand, err.Error())
	}
	response, err := s.cfg.Node.Propose(ctx, data)
	if err != nil {
		return controlstate.Result{}, err
	}
	return controlstate.DecodeResult(response)
}

// leaderTerm returns the current term and whether this replica is its leader according to its local state. Only
// ReadBarrier confirms the leadership with a quorum.
func (s *Server) leaderTerm() (uint64, bool) {
	status := s.cfg.Node.Status()
	return status.Term, status.Role == replog.RoleLeader
}

func (s *Server) leaderName() string {
	return s.cfg.Replicas[s.cfg.Node.Status().Leader].Name
}
