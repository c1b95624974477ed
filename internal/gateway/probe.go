package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/bramleypick/bramleypick/admission"
)

// maxHealthBytes bounds the body of a valid health response, in bytes.
const maxHealthBytes = 256

// healthResponse is the body of a response to GET /health.
type healthResponse struct {
	BootID   string `json:"boot_id"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"inflight"`
	Cold     bool   `json:"cold"`
}

// startProbe requests the load of an upstream on a separate goroutine, so that a slow response blocks nothing else.
func (s *service) startProbe(p admission.Probe) {
	u := s.g.snapshot.Load().upstream(s.name, p.UpstreamID)
	go func() {
		result := s.runProbe(u, p)
		s.g.metrics.recordProbe(s.name, result.Bytes)
		if result.OK {
			s.reportSuspect(s.crashGuard.ObserveBootID(p.UpstreamID, result.Report.BootID, time.Now()))
		}
		s.send(event{kind: eventProbeDone, probe: p, probeResult: result})
	}()
}

func (s *service) runProbe(u *upstreamView, p admission.Probe) (result admission.ProbeResult) {
	if u == nil || u.pool == nil || s.g.mayStart(s.name, p.UpstreamID, p.Epoch) != startAllowed {
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.g.cfg.ProbeTimeout)
	defer cancel()
	conn, err := u.pool.Connect(ctx, false)
	if err != nil {
		s.recordRefusedConnection(u.ID, err)
		return result
	}
	if s.g.mayStart(s.name, p.UpstreamID, p.Epoch) != startAllowed {
		conn.Release()
		return result
	}
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: u.Address, Path: "/health"}, Host: u.Address,
		Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	resp, outcome, err := conn.Exchange(ctx, r.WithContext(ctx))
	result.Bytes = int(outcome.BytesWritten)
	if err != nil {
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes+1))
	result.Bytes += headerSize(resp) + len(body)
	var h healthResponse
	if err != nil || len(body) > maxHealthBytes || resp.StatusCode != http.StatusOK || json.Unmarshal(body, &h) != nil {
		return result
	}
	result.OK = true
	result.Report = admission.Report{
		BootID: h.BootID, HasLoad: true, InFlight: h.InFlight, Slots: h.Slots, HasCold: true, Cold: h.Cold,
	}
	return result
}

// headerSize returns the size of a response header on the wire, in bytes.
func headerSize(resp *http.Response) int {
	const statusLine, separators = len("HTTP/1.1 200 ") + len("\r\n\r\n"), len(": \r\n")
	n := statusLine + len(http.StatusText(resp.StatusCode))
	for name, values := range resp.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}
