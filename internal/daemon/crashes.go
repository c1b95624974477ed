package daemon

import (
	"context"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/controlclient"
)

// crashReporter reports requests that were running when an upstream was lost.
type crashReporter struct {
	client *controlclient.Client
}

// Report commits a crash report. A report that is lost delays the block by one crash.
func (c crashReporter) Report(ctx context.Context, service, fingerprint, upstreamID, bootID string) {
	_, _ = c.client.Submit(ctx, controlstate.Command{
		Kind:        controlstate.KindReportCrash,
		ReportCrash: &controlstate.ReportCrash{Service: service, Fingerprint: fingerprint, UpstreamID: upstreamID, BootID: bootID},
	})
}
