package entrynode

import (
	"math"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

// metricsHandler serves counters, gauges and histograms as text.
func (n *Node) metricsHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", func(x echo.Context) error {
		n.updateClusterGauges()
		n.updateResourceGauges()
		x.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
		metrics.WriteOnce(n.metrics.Registry, x.Response())
		return nil
	})
	return e
}

// updateClusterGauges sets the gauges of the cluster state as this process sees it.
func (n *Node) updateClusterGauges() {
	gauge := func(name string, value int) {
		metrics.GetOrRegisterGauge(name, n.metrics.Registry).Update(int64(value))
	}
	view := n.cluster.View()
	gauge("control.view_index", int(view.Index))
	gauge("control.evacuated_zones", len(view.Evacuated))
	if view.Config != nil {
		gauge("control.config_version", int(view.Config.Version))
		gauge("control.routes", len(view.Config.Routes))
	}
	for service, r := range view.Rollouts {
		gauge(service+".rollout_state", int(r.State))
		gauge(service+".rollout_share_permille", int(math.Round(1000*r.Share)))
	}
	gauge("control.in_touch", map[bool]int{true: 1}[n.cluster.Connected()])
	gauge("control.links", n.cluster.Links())
	gauge("control.leader", map[bool]int{true: 1}[n.cluster.IsLeader()])
	n.cluster.OtherZoneTraffic(func(method string, sent, received int64) {
		gauge("other_zone.messages.sent_bytes."+method, int(sent))
		gauge("other_zone.messages.received_bytes."+method, int(received))
	})
	gauge("control.grants_tokens", map[bool]int{true: 1}[n.cluster.GrantsTokens()])
	gauge("processes.alive", len(n.cluster.Nodes()))
	for service, limited := range n.gateway.LimitedUpstreams() {
		gauge(service+".limited_upstreams", limited)
	}
	states := map[string]int{}
	for _, e := range n.cluster.Upstreams() {
		states[e.State.String()]++
	}
	for _, state := range []string{"ready", "draining", "gone"} {
		gauge("upstreams."+state, states[state])
	}
}
