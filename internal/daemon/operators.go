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

// changeTimeout bounds an operator's change. It outlasts an election.
const changeTimeout = 5 * time.Second

// operators serves the operator API.
type operators struct {
	client  *controlclient.Client
	view    func() *controlstate.View
	metrics metrics.Registry
}

// ApplyConfig puts a whole configuration in force.
func (o operators) ApplyConfig(ctx context.Context, change api.ConfigChange) (api.Accepted, error) {
	config, err := dynconfig.Parse(change.Config)
	if err != nil {
		return api.Accepted{}, resultcode.Errorf(resultcode.InvalidConfiguration, "%v", err)
	}
	base := uint64(0)
	if change.BaseVersion != nil {
		base = *change.BaseVersion
	} else if v := o.view(); v != nil {
		base = v.ConfigVersion
	}
	encoded, err := dynconfig.Canonical(config)
	if err != nil {
		return api.Accepted{}, resultcode.Errorf(resultcode.InvalidConfiguration, "%v", err)
	}
	return o.commit(ctx, controlstate.Command{
		Kind:        controlstate.KindApplyConfig,
		ApplyConfig: &controlstate.ApplyConfig{BaseVersion: base, ChangeID: changeIDOrRandom(change.ChangeID), JSON: encoded},
	})
}

// commit submits a change of the configuration and translates its result.
func (o operators) commit(ctx context.Context, command controlstate.Command) (api.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := o.client.Submit(ctx, command)
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
	return o.editStop(ctx, change, false)
}

// Return removes a planned stop from the configuration.
func (o operators) Return(ctx context.Context, change api.StopChange) (api.Accepted, error) {
	return o.editStop(ctx, change, true)
}

func (o operators) editStop(ctx context.Context, change api.StopChange, remove bool) (api.Accepted, error) {
	if err := o.checkStop(change.Stop); err != nil {
		return api.Accepted{}, err
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
