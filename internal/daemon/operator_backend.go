package daemon

import (
	"bytes"
	"context"
	"crypto/rand"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/controlclient"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/resultcode"
)

// changeTimeout bounds a call of the operator API to the control group. It is longer than a leader election takes.
const changeTimeout = 5 * time.Second

// operatorBackend implements api.OperatorBackend.
type operatorBackend struct {
	client  *controlclient.Client
	view    func() *controlstate.View
	metrics metrics.Registry
}

// ApplyConfig replaces the whole configuration.
func (o operatorBackend) ApplyConfig(ctx context.Context, change api.ConfigChange) (api.ChangeResponse, error) {
	config, err := dynconfig.Parse(change.Config)
	if err != nil {
		return api.ChangeResponse{}, resultcode.Errorf(resultcode.InvalidConfiguration, "%v", err)
	}
	base := uint64(0)
	if change.BaseVersion != nil {
		base = *change.BaseVersion
	} else if v := o.view(); v != nil {
		base = v.ConfigVersion
	}
	encoded, err := dynconfig.Canonical(config)
	if err != nil {
		return api.ChangeResponse{}, resultcode.Errorf(resultcode.InvalidConfiguration, "%v", err)
	}
	return o.commit(ctx, controlstate.Command{
		Kind:        controlstate.KindApplyConfig,
		ApplyConfig: &controlstate.ApplyConfig{BaseVersion: base, ChangeID: changeIDOrRandom(change.ChangeID), JSON: encoded},
	})
}

// commit submits a configuration change and converts the result to an API response or error.
func (o operatorBackend) commit(ctx context.Context, command controlstate.Command) (api.ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := o.client.Submit(ctx, command)
	if err != nil {
		return api.ChangeResponse{}, err
	}
	if result.Code != resultcode.OK {
		response := api.NewErrorResponse(result.Code, result.Message)
		response.ConfigVersion, response.ConfigDigest = result.ConfigVersion, result.ConfigDigest
		return api.ChangeResponse{}, response
	}
	return api.ChangeResponse{ConfigVersion: result.ConfigVersion, ConfigDigest: result.ConfigDigest}, nil
}

// Stop adds a planned stop to the configuration.
func (o operatorBackend) Stop(ctx context.Context, change api.StopChange) (api.ChangeResponse, error) {
	return o.editStop(ctx, change, false)
}

// Return removes a planned stop from the configuration.
func (o operatorBackend) Return(ctx context.Context, change api.StopChange) (api.ChangeResponse, error) {
	return o.editStop(ctx, change, true)
}

func (o operatorBackend) editStop(ctx context.Context, change api.StopChange, remove bool) (api.ChangeResponse, error) {
	if err := o.checkStop(change.Stop); err != nil {
		return api.ChangeResponse{}, err
	}
	return o.commit(ctx, controlstate.Command{
		Kind:     controlstate.KindEditStop,
		EditStop: &controlstate.EditStop{ChangeID: changeIDOrRandom(change.ChangeID), Stop: change.Stop, Remove: remove},
	})
}

func changeIDOrRandom(id string) string {
	if id == "" {
		return rand.Text()
	}
	return id
}

func (o operatorBackend) checkStop(stop dynconfig.Stop) error {
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

// Status returns the status report of the control group's leader.
func (o operatorBackend) Status(ctx context.Context) (controlproto.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	report, err := o.client.Status(ctx)
	if err != nil {
		return report, resultcode.Errorf(resultcode.NoQuorum, "no leader of the control group answered")
	}
	return report, nil
}

// Config returns the configuration in force at this gateway.
func (o operatorBackend) Config(context.Context) (api.ConfigResponse, error) {
	view := o.view()
	if view == nil {
		return api.ConfigResponse{}, resultcode.Errorf(resultcode.ControlUnavailable, "the gateway has no view of the control state yet")
	}
	return api.ConfigResponse{ConfigVersion: view.ConfigVersion, ConfigDigest: view.ConfigDigest, Config: view.Config}, nil
}

// Metrics returns the process's metrics as JSON.
func (o operatorBackend) Metrics() ([]byte, error) {
	var buffer bytes.Buffer
	metrics.WriteJSONOnce(o.metrics, &buffer)
	return buffer.Bytes(), nil
}
