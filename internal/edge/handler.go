package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/crashguard"
	"github.com/bramleypick/bramleypick/internal/asynclog"
	"github.com/bramleypick/bramleypick/internal/bodybuffer"
	"github.com/bramleypick/bramleypick/internal/hopheader"
	"github.com/bramleypick/bramleypick/internal/pipeline"
	"github.com/bramleypick/bramleypick/resultcode"
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, arrived: time.Now(), id: r.Header.Get(g.cfg.Protocol.RequestIDHeader)}
	if g.stopPlan.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if f := c.prepare(); f != nil {
		c.refuse(f)
		return
	}
	c.service.metrics.requests.Inc(1)
	if f := c.acquireToken(r.Context()); f != nil {
		c.refuse(f)
		return
	}
	defer c.returnToken()
	c.service.budget.RecordFirstAttempt(time.Now())
	a, f := c.run(r.Context())
	if f != nil {
		c.refuse(c.withReturnTime(f))
		return
	}
	if !a.fullyBuffered {
		defer c.g.unbuffered.add(c.w, a.candidate.Address)()
	}
	defer a.discard()
	c.forward(a)
}

// prepare determines the route, service and deadline, decides whether to admit the request, and reads the body.
func (c *call) prepare() *failure {
	config := c.awaitConfig()
	if config == nil {
		return &noConfiguration
	}
	c.configVersion = config.version
	c.route = config.table.Match(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return &unknownRoute
	}
	if f := c.authenticate(config.accounts); f != nil {
		return f
	}
	c.service = c.g.service(config.service(c.route))
	if c.service == nil {
		return &noUpstream
	}
	c.setDeadline()
	if c.timeLeft() <= 0 {
		return &deadlinePassed
	}
	if plan := c.g.stopPlan.Load(); plan != nil && !plan.Accepts(c.repeatable(), c.arrived, c.deadline) {
		return &shuttingDown
	}
	if f := c.admit(); f != nil {
		return f
	}
	if f := c.readBody(config.maxBody); f != nil {
		return f
	}
	c.fingerprint = crashguard.Fingerprint(c.service.name, c.r.Method, c.r.URL.RequestURI(), c.body.Small(crashguard.MaxHashedBody))
	if c.g.crashes.records.blocked(c.fingerprint, c.arrived) {
		return &crashesUpstreams
	}
	return nil
}

// awaitConfig returns the route configuration. If there is none yet, it waits for it for up to firstConfigWait, which
// is normally enough after a start. Refusing the request instead would not help the client if all gateways have just
// restarted.
func (c *call) awaitConfig() *routeConfig {
	if config := c.g.routes.Load(); config != nil {
		return config
	}
	timer := time.NewTimer(firstConfigWait)
	defer timer.Stop()
	select {
	case <-c.g.configured:
	case <-timer.C:
	case <-c.r.Context().Done():
	}
	return c.g.routes.Load()
}

func (c *call) setDeadline() {
	timeout := defaultTimeout
	if c.route.TimeoutMillis > 0 {
		timeout = milliseconds(c.route.TimeoutMillis)
	}
	if left, err := strconv.ParseFloat(c.r.Header.Get(c.g.cfg.Protocol.DeadlineHeader), 64); err == nil && !math.IsNaN(left) {
		timeout = min(timeout, milliseconds(left))
	}
	c.deadline = c.arrived.Add(timeout)
}

// maxMillis limits times from headers and from the configuration, in ms. The conversion of larger numbers overflows, and its
// result differs between processors.
const maxMillis = 24 * 60 * 60 * 1000

// milliseconds converts a number that is not NaN.
func milliseconds(ms float64) time.Duration {
	return time.Duration(min(max(ms, 0), maxMillis) * float64(time.Millisecond))
}

// readBody reads the request body into memory, so that it can be sent more than once and a slow client does not occupy
// an upstream.
func (c *call) readBody(limit int64) *failure {
	if c.r.ContentLength == 0 {
		return nil
	}
	if c.r.ContentLength > limit {
		return &bodyTooLarge
	}
	if held, ok := c.r.Body.(interface{ Body() *bodybuffer.Body }); ok { // the server has read it
		c.body = held.Body()
		return nil
	}
	reserved := max(c.r.ContentLength, 0)
	if c.g.bufferedRequestBytes.Add(reserved) > maxBufferedRequestBytes {
		c.g.bufferedRequestBytes.Add(-reserved)
		return &bufferFull
	}
	defer c.g.bufferedRequestBytes.Add(-reserved)
	data, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	switch {
	case errors.Is(err, pipeline.ErrBodyNotRead): // by the decision of BodyLimit, which a later configuration does not share
		return &configChanged
	case err != nil:
		return &malformedBody
	case int64(len(data)) > limit:
		return &bodyTooLarge
	}
	c.body = bodybuffer.Of(data)
	return nil
}

// forward sends the upstream's response to the client.
func (c *call) forward(a *attempt) {
	header := c.w.Header()
	hopheader.Remove(a.resp.Header)
	for name, values := range a.resp.Header {
		header[name] = values
	}
	if a.fullyBuffered && c.r.Method != http.MethodHead && bodyAllowed(a.resp.StatusCode) {
		header.Set("Content-Length", strconv.Itoa(len(a.buffered)))
	}
	c.w.WriteHeader(a.resp.StatusCode)
	c.service.metrics.recordResponse(a.startedAt.Sub(c.arrived), time.Since(c.arrived), c.target())
	c.log("answered", a, nil)
	if _, err := c.w.Write(a.buffered); err != nil {
		return // the client disconnected
	}
	if a.fullyBuffered {
		return
	}
	stop := context.AfterFunc(c.r.Context(), a.cancel)
	defer stop()
	body := newResponseReader(a.resp, len(a.buffered))
	defer body.cancelIfSilent(c.deadline, a.cancel)()
	if err := c.g.pacer.copy(a.ctx, c.w, body); err != nil {
		if body.err != nil && c.r.Context().Err() == nil {
			a.recordBrokenBody()
		}
		c.g.cfg.Log.Warn("response aborted", zap.String("request", asynclog.Abbreviate(c.id)), zap.String("upstream", a.candidate.ID), zap.Error(err))
		panic(http.ErrAbortHandler) // so that the client does not take the response for complete
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// refusalBody is the body of a response that the gateway generates itself.
type refusalBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	NotRun  bool   `json:"not_run"`
	Message string `json:"message"`
}

// refuse responds to a request that got no response from an upstream.
func (c *call) refuse(f *failure) {
	c.g.cfg.Metrics.countFailure(f.code)
	c.log("refused", nil, f)
	if f == &clientDisconnected {
		panic(http.ErrAbortHandler)
	}
	info, _ := f.code.Info()
	body, err := json.Marshal(refusalBody{int(f.code), info.Name, info.NotRun, f.message})
	if err != nil {
		panic(err) // cannot happen: all fields are basic types
	}
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if f.code == resultcode.UnknownKey {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if f.retry {
		pause := cmp.Or(f.retryAfter, retryAfter)
		if f.elsewhere {
			pause = 0
		}
		header.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	status := info.HTTPStatus
	if f.status != 0 {
		status = f.status
	}
	c.w.WriteHeader(status)
	// An error means that the client disconnected.
	_, _ = c.w.Write(body)
}

// log writes the log line with the outcome of a request and the state that determined it. The lines of requests that
// succeeded at the first attempt are limited by logBudget.
func (c *call) log(outcome string, a *attempt, f *failure) {
	if a != nil && a.resp.StatusCode < http.StatusInternalServerError && c.attempts == 1 && !c.g.logBudget.Allow(c.id, time.Now()) {
		return
	}
	fields := []zap.Field{
		zap.String("request", asynclog.Abbreviate(c.id)), zap.Uint64("config_version", c.configVersion), zap.Int("attempts", c.attempts),
		zap.Float64("ms", float64(time.Since(c.arrived).Microseconds())/1000),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name))
	}
	if c.account != nil {
		fields = append(fields, zap.String("account", c.account.Name))
	}
	if c.service != nil {
		fields = append(fields, zap.String("service", c.service.name))
	}
	if len(c.tried) > 0 {
		fields = append(fields, zap.Strings("upstreams", c.tried))
	}
	if a != nil {
		fields = append(fields, zap.Int("status", a.resp.StatusCode), zap.Float64("sent_after_ms", float64(a.startedAt.Sub(c.arrived).Microseconds())/1000),
			zap.Int("asked", c.probed), zap.Duration("estimate", a.candidate.Estimate),
			zap.Duration("load_age", a.candidate.Age), zap.Stringer("load", a.candidate.Load))
		fields = append(fields, a.zoneFields()...)
	}
	if a != nil && a.tracked != nil {
		fields = append(fields, zap.Stringer("rollout_version", a.tracked.Version()))
	}
	if f != nil && c.bestRejected.ID != "" {
		fields = append(fields, zap.String("passed_over", c.bestRejected.ID), zap.Duration("estimate", c.bestRejected.Estimate),
			zap.Duration("load_age", c.bestRejected.Age), zap.Stringer("load", c.bestRejected.Load), zap.Duration("target_left", c.requirements().Target))
	}
	if f != nil {
		fields = append(fields, zap.Uint16("code", uint16(f.code)), zap.Bool("may_have_run", c.mayHaveRun), zap.String("fingerprint", c.fingerprint))
		if f.code == resultcode.QuotaExceeded {
			fields = append(fields, c.quotaFields()...)
		}
	}
	fields = append(fields, c.admissionFields...)
	if plan := c.g.stopPlan.Load(); plan != nil && f != nil && !c.deadline.IsZero() {
		fields = append(fields, zap.Float64("stops_in_ms", float64(time.Until(plan.FinishBy).Microseconds())/1000),
			zap.Float64("deadline_in_ms", float64(c.timeLeft().Microseconds())/1000))
	}
	if n := c.excluded.Count(balancing.RequestLimit); n > 0 {
		fields = append(fields, zap.Int("withheld", n))
	}
	if f != nil {
		if reasons := c.excluded.String(); reasons != "" {
			fields = append(fields, zap.String("excluded", reasons))
		}
	}
	c.g.cfg.Log.Info(outcome, fields...)
}
