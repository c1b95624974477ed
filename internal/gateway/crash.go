package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/crashguard"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
	"github.com/bramleypick/bramleypick/resultcode"
)

// crashReportTimeout bounds one report to the control group.
const crashReportTimeout = 5 * time.Second

// withCrashGuard rejects requests whose fingerprint is that of a request that crashed upstreams.
func (g *Gateway) withCrashGuard(next handler) handler {
	return func(c *call) error {
		c.fingerprint = crashguard.Fingerprint(c.serviceView.config.Name, c.r.Method, c.r.URL.Path, c.body)
		if c.serviceView.service.crashGuard.Blocked(c.fingerprint, time.Now()) {
			return resultcode.Errorf(resultcode.FingerprintBlocked, "requests like this one crashed upstreams")
		}
		return next(c)
	}
}

// reportSuspect reports a request that may have crashed an upstream to the control group.
func (s *service) reportSuspect(suspect *crashguard.Suspect) {
	if suspect == nil {
		return
	}
	s.g.log.Warn("upstream lost while it was running a request", zap.String("service", s.name),
		zap.String("upstream", suspect.UpstreamID), zap.String("fingerprint", suspect.Fingerprint), zap.Bool("sole", suspect.Sole))
	if s.g.deps.CrashReporter == nil {
		return
	}
	s.g.runInBackground(func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
		defer cancel()
		s.g.deps.CrashReporter.Report(ctx, s.name, suspect.Fingerprint, suspect.UpstreamID, suspect.BootID)
	})
}

// recordRefusedConnection reports a refused connection to the crash guard, for which it confirms that the upstream
// is down.
func (s *service) recordRefusedConnection(upstreamID string, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.reportSuspect(s.crashGuard.ConnectionRefused(upstreamID, time.Now()))
	}
}

// isCut reports whether an exchange ended because its connection was reset or closed.
func isCut(err error) bool {
	return errors.Is(err, upstreamconn.ErrConnLost) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF)
}
