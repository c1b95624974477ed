package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CrashMarker is a string in the path or query of a request that makes the executing upstream crash. Gateways forward it
// unchanged.
const CrashMarker = "crash-upstream"

// Health is the response to GET /health.
type Health struct {
	BootID   string `json:"boot_id"`
	Slots    int    `json:"slots"`
	Inflight int    `json:"inflight"`
	Cold     bool   `json:"cold"`
}

// ServeHTTP serves the health endpoint and simulates work on every other path.
func (u *Upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	state, _ := r.Context().Value(connKey{}).(*connState)
	if state == nil { // called without a connection, for example by a test
		state = &connState{frozen: make(chan struct{})}
	}
	// net/http cancels the request's context on a closed connection only after the body was read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request is incomplete
	}
	delay := millis(u.simulator.currentBehaviour().OneWayDelayMS)
	if sleep(r.Context(), nil, delay) != completed || state.blockIfFrozen(r.Context()) {
		return
	}
	if r.URL.Path == "/health" {
		u.serveHealth(rw, r, state)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	result := u.simulator.run(ctx, func() {
		u.executions.add(r.Header.Get("Bramleypick-Request-Id"), r.Header.Get("Idempotency-Key"))
		if strings.Contains(r.URL.RequestURI(), CrashMarker) {
			u.Crash()
		}
	})
	if r.Context().Err() != nil {
		return
	}
	b := u.simulator.currentBehaviour()
	late := time.Duration(0)
	if b.LatePercent == 0 || u.simulator.draw(b.LatePercent) {
		late = millis(b.LateMS)
	}
	if sleep(r.Context(), nil, late+delay) != completed || state.blockIfFrozen(r.Context()) {
		return
	}
	u.respond(rw, r, result, b)
}

// blockIfFrozen reports whether the connection is frozen. If it is, it returns only once ctx has ended.
func (s *connState) blockIfFrozen(ctx context.Context) bool {
	select {
	case <-s.frozen:
		<-ctx.Done()
		return true
	default:
		return false
	}
}

// withDeadline returns the request's context with the timeout from the header Bramleypick-Timeout-Ms, if there is one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get("Bramleypick-Timeout-Ms"), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (u *Upstream) serveHealth(rw http.ResponseWriter, r *http.Request, state *connState) {
	u.simulator.updateCounts(func(c *workCounts) { c.HealthRequests++ })
	b := u.simulator.currentBehaviour()
	if sleep(r.Context(), nil, millis(b.HealthDelayMS+b.OneWayDelayMS)) != completed || state.blockIfFrozen(r.Context()) {
		return
	}
	health := u.health()
	rw.Header().Set("Content-Type", "application/json")
	if b.HealthStatus != 0 {
		rw.WriteHeader(b.HealthStatus)
	}
	json.NewEncoder(rw).Encode(health)
}

// health returns the reported state. The behaviour may set a false load or hide a cold start.
func (u *Upstream) health() Health {
	inflight, slots, cold := u.simulator.load()
	b := u.simulator.currentBehaviour()
	if b.FalseLoad != "" {
		fmt.Sscanf(b.FalseLoad, "%d/%d", &inflight, &slots)
	}
	return Health{BootID: u.currentBootID(), Slots: slots, Inflight: inflight, Cold: cold && !b.ColdHidden}
}
