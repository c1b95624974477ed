package daemon

import (
	"context"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/controlclient"
	"github.com/bramleypick/bramleypick/resultcode"
)

// crashReporter reports to the control group the fingerprints of requests that were running when an upstream crashed.
type crashReporter struct {
	client *controlclient.Client
	log    *zap.Logger
}

// Report commits a crash report. It does not retry: a lost report only means that one more crash is needed before the
// fingerprint is blocked.
func (c crashReporter) Report(ctx context.Context, service, fingerprint, upstreamID, bootID string) {
	result, err := c.client.Submit(ctx, controlstate.Command{
		Kind:        controlstate.KindReportCrash,
		ReportCrash: &controlstate.ReportCrash{Service: service, Fingerprint: fingerprint, UpstreamID: upstreamID, BootID: bootID},
	})
	if err != nil || result.Code != resultcode.OK {
		c.log.Warn("failed to commit a crash report", zap.String("service", service), zap.String("fingerprint", fingerprint),
			zap.Error(err), zap.Stringer("code", result.Code))
	}
}
