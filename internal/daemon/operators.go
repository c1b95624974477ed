package daemon

import (
	"bytes"
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/controlclient"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// changeTimeout bounds an operator's change. It outlasts an election.
	changeTimeout = 5 * time.Second
	// stopAttempts bounds the tries of a planned stop whose base version was overtaken by another change.
	stopAttempts = 8
)

// operators serves the operator API.
type operators struct {
	client  *controlclient.Client
	view    func() *controlstate.View
	metrics metrics.Registry
}

// ApplyConfig puts a whole configuration in force.
func (o operators) ApplyConfig(ctx context.Context, change api.ConfigChange) (api.Accepted, error) {
	config, err := dynconfig.Decode(change.Config)
	if err != nil {
		return api.Accepted{}, resultcode.Errorf(resultcode.InvalidConfiguration, "%v", err)
	}
	base := uint64(0)
	if change.BaseVersion != nil {
		base = *change.BaseVersion
	} else if v := o.view(); v != nil {
		base = v.ConfigVersion
	}
	return o.submit(ctx, config, base, change.ChangeID)
}

func (o operators) submit(ctx context.Context, config dynconfig.Config, base uint64, changeID string) (api.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	encoded, err := dynconfig.Canonical(config)
	if err != nil {
		return api.Accepted{}, resultcode.Errorf(resultcode.InvalidConfiguration, "%v", err)
	}
	if changeID == "" {
		changeID = rand.Text()
	}
	result, err := o.client.Submit(ctx, controlstate.Command{
		Kind:        controlstate.KindApplyConfig,
		ApplyConfig: &controlstate.ApplyConfig{BaseVersion: base, ChangeID: changeID, JSON: encoded},
	})
	if err != nil {
		return api.Accepted{}, err
	}
	if result.Code != resultcode.OK {
		refusal := api.NewRefusal(result.Code, result.Message)
		refusal.ConfigVersion, refusal.ConfigDigest = result.ConfigVersion, result.ConfigDigest
		return api.Accepted{}, refusal
	}
	return api.Accepted{ConfigVersion: result.ConfigVersion, ConfigDigest: result.ConfigDigest}, nil
}

// Stop adds a planned stop to the configuration.
func (o operators) Stop(ctx context.Context, change api.StopChange) (api.Accepted, error) {
	return o.editStops(ctx, change, func(stops []dynconfig.Stop) []dynconfig.Stop {
		if slices.Contains(stops, change.Stop) {
			return stops
		}
		return append(stops, change.Stop)
	})
}

// Return removes a planned stop from the configuration.
func (o operators) Return(ctx context.Context, change api.StopChange) (api.Accepted, error) {
	return o.editStops(ctx, change, func(stops []dynconfig.Stop) []dynconfig.Stop {
		return slices.DeleteFunc(stops, func(s dynconfig.Stop) bool { return s == change.Stop })
	})
}

// editStops changes the stops of the current configuration, and starts again when another change came in between. The
// change id is used with the first base version only; a later try is a different change.
func (o operators) editStops(ctx context.Context, change api.StopChange, edit func([]dynconfig.Stop) []dynconfig.Stop) (api.Accepted, error) {
	if err := o.checkStop(change.Stop); err != nil {
		return api.Accepted{}, err
	}
	base := uint64(0)
	for range stopAttempts {
		view, err := o.viewFrom(ctx, base)
		if err != nil {
			return api.Accepted{}, err
		}
		config := view.Config
		config.Stops = edit(slices.Clone(config.Stops))
		accepted, err := o.submit(ctx, config, view.ConfigVersion, "")
		var refusal *api.Refusal
		if errors.As(err, &refusal) && refusal.Code == resultcode.VersionConflict {
			base = refusal.ConfigVersion
			continue
		}
		return accepted, err
	}
	return api.Accepted{}, resultcode.Errorf(resultcode.VersionConflict, "other changes came in between %d times", stopAttempts)
}

// viewFrom waits for a view whose configuration has at least the given version.
func (o operators) viewFrom(ctx context.Context, version uint64) (*controlstate.View, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		if v := o.view(); v != nil && v.ConfigVersion >= version {
			return v, nil
		}
		select {
		case <-ctx.Done():
			return nil, resultcode.Errorf(resultcode.ControlUnavailable, "no current view of the configuration")
		case <-ticker.C:
		}
	}
}

func (o operators) checkStop(stop dynconfig.Stop) error {
	view := o.view()
	switch {
	case view == nil:
		return resultcode.Errorf(resultcode.ControlUnavailable, "the gateway has no view of the control state yet")
	case (stop.Zone == "") == (stop.Upstream == ""):
		return resultcode.Errorf(resultcode.MalformedBody, "exactly one of zone and upstream must be set")
	case stop.Zone != "" && !view.Config.HasZone(stop.Zone):
		return resultcode.Errorf(resultcode.UnknownZone, "no availability zone %q", stop.Zone)
	case stop.Upstream != "" && view.Upstream(stop.Upstream) == nil && !view.Config.UpstreamStopped(stop.Upstream, ""):
		return resultcode.Errorf(resultcode.UnknownUpstream, "no upstream %q", stop.Upstream)
	}
	return nil
}

// Status returns the leader's report.
func (o operators) Status(ctx context.Context) (controlproto.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	report, err := o.client.Status(ctx)
	if err != nil {
		return report, resultcode.Errorf(resultcode.NoQuorum, "no leader of the control group answered")
	}
	return report, nil
}

// Config returns the configuration in force at this gateway.
func (o operators) Config(context.Context) (api.CurrentConfig, error) {
	view := o.view()
	if view == nil {
		return api.CurrentConfig{}, resultcode.Errorf(resultcode.ControlUnavailable, "the gateway has no view of the control state yet")
	}
	return api.CurrentConfig{ConfigVersion: view.ConfigVersion, ConfigDigest: view.ConfigDigest, Config: view.Config}, nil
}

// Metrics returns the process's metrics as JSON.
func (o operators) Metrics() ([]byte, error) {
	var buffer bytes.Buffer
	metrics.WriteJSONOnce(o.metrics, &buffer)
	return buffer.Bytes(), nil
}
