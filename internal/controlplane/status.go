package controlplane

import (
	"context"
	"time"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/resultcode"
)

// status reports the control group's state, after leadership was confirmed.
func (s *Server) status(ctx context.Context) controlproto.Report {
	term, ok := s.ledTerm()
	if !ok {
		return controlproto.Report{Code: resultcode.NotLeader, Leader: s.leaderName()}
	}
	if _, err := s.cfg.Node.ReadBarrier(ctx); err != nil {
		return controlproto.Report{Code: resultcode.NoQuorum}
	}
	if current, ok := s.ledTerm(); !ok || current != term || !s.renewals.isForTerm(term) {
		return controlproto.Report{Code: resultcode.NoQuorum}
	}
	now := time.Now()
	view := s.views.current()
	s.renewals.removeEnded(view)
	node := s.cfg.Node.Status()
	return controlproto.Report{
		Leader:        s.leaderName(),
		Term:          term,
		CommitIndex:   node.Commit,
		ConfigVersion: view.ConfigVersion,
		ConfigDigest:  view.ConfigDigest,
		InForce:       s.renewals.versionInForce(view.Sessions, view.ConfigVersion),
		Gateways:      s.gatewayReports(view, now),
		Replicas:      s.replicaReports(node.Membership),
		Upstreams:     upstreamReports(view),
		Stops:         s.stopReports(view, now),
		Blocked:       blockedReports(view),
	}
}

func (s *Server) gatewayReports(view *controlstate.View, now time.Time) []controlproto.GatewayReport {
	reports := make([]controlproto.GatewayReport, 0, len(view.Sessions))
	for _, info := range view.Sessions {
		report := controlproto.GatewayReport{
			Name: info.Gateway, SessionID: info.SessionID, Zone: info.Zone, Leaving: info.Leaving, SinceRenewalMillis: -1,
		}
		if record, ok := s.renewals.lookup(info.SessionID); ok {
			report.ConfigVersion = record.configVersion
			report.SinceRenewalMillis = now.Sub(record.receivedAt).Milliseconds()
		}
		reports = append(reports, report)
	}
	return reports
}

func (s *Server) replicaReports(membership replog.Membership) []controlproto.ReplicaReport {
	var reports []controlproto.ReplicaReport
	for _, id := range membership.Voters {
		reports = append(reports, controlproto.ReplicaReport{NodeID: id, Name: s.cfg.Replicas[id].Name, Voter: true})
	}
	for _, id := range membership.Learners {
		reports = append(reports, controlproto.ReplicaReport{NodeID: id, Name: s.cfg.Replicas[id].Name})
	}
	return reports
}

func upstreamReports(view *controlstate.View) []controlproto.UpstreamReport {
	reports := make([]controlproto.UpstreamReport, 0, len(view.Upstreams))
	for _, u := range view.Upstreams {
		reports = append(reports, controlproto.UpstreamReport{
			ID: u.ID, Service: u.Service, Zone: u.Zone, Epoch: u.Epoch,
			Owner: gatewayName(view, u.Owner), MovingTo: gatewayName(view, u.MovingTo),
		})
	}
	return reports
}

func blockedReports(view *controlstate.View) []controlproto.BlockedReport {
	var reports []controlproto.BlockedReport
	for _, b := range view.Blocked {
		reports = append(reports, controlproto.BlockedReport{
			Service: b.Service, Fingerprint: b.Fingerprint, Until: time.UnixMilli(b.UntilUnixMilli).UTC(),
		})
	}
	return reports
}

func gatewayName(view *controlstate.View, sessionID uint64) string {
	if info := view.Session(sessionID); info != nil {
		return info.Gateway
	}
	return ""
}
