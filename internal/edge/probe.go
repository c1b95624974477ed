package edge

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
)

const (
	// probeTimeout is the timeout of a probe: twice the sum of 1 ms at the upstream and the longest round trip between
	// zones, 5 ms.
	probeTimeout = 12 * time.Millisecond
	// maxLinkQueueBytes is the number of bytes that may be queued ahead of a probe's response on the gateway's own link:
	// the TCP window of a download.
	maxLinkQueueBytes = 64 << 10
	// maxHealthBody is the limit of the body of a health response in bytes.
	maxHealthBody = 4 << 10
)

var errHealthBodyTooLong = errors.New("the body of the health response exceeds its limit")

// probeTimeoutOn returns probeTimeout plus the queueing delay on a link of the given speed. Zero means that the speed
// is unknown.
func probeTimeoutOn(linkBitsPerSecond float64) time.Duration {
	if linkBitsPerSecond <= 0 {
		return probeTimeout
	}
	return probeTimeout + time.Duration(maxLinkQueueBytes*8/linkBitsPerSecond*float64(time.Second))
}

// probe requests the health and load of an upstream and records them.
func (s *service) probe(ctx context.Context, c balancing.Candidate) {
	if !s.mayProbe(c.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeoutOn(s.cfg.LinkBitsPerSecond))
	defer cancel()
	started := time.Now()
	resp, err := s.requestHealth(ctx, c)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, upstreamconn.ErrMaxConnections) {
		return // says nothing about the upstream
	}
	if err != nil {
		if cause := context.Cause(ctx); cause != context.Canceled {
			s.balancer.RecordUnreachable(c.ID, now)
			if errors.Is(err, upstreamconn.ErrDial) {
				s.crashes.recordRefusal(c.ID, err, now)
				if s.certainlyUnreachable(c.ID, err) { // a late response alone is not reported to the other gateways
					s.failures.record(c.ID, true, now)
				}
			}
		}
		return
	}
	p, header := &s.cfg.Protocol, resp.Header
	id := header.Get(p.UpstreamHeader)
	if id != "" && id != c.ID {
		s.balancer.End(c.ID, balancing.AddressReassigned, now)
		return
	}
	if id != "" { // otherwise another upstream may have responded
		s.recordHints(c, resp, now)
	}
	s.failures.record(c.ID, false, now)
	s.meanProbeTime += time.Duration(probeGain * float64(now.Sub(started)-s.meanProbeTime))
	s.balancer.RecordProbe(c.ID, resp.StatusCode == http.StatusOK, p.WarmupLeft(header), now.Sub(started), now)
	s.recordLimit(c.ID, header, true, now)
	s.recordIdleLimit(c)
	load, ok := p.Load(header)
	if ok {
		s.reportsLoad = true
		s.balancer.RecordLoad(c.ID, load, now)
	}
	if s.noLoadReports == ok {
		s.noLoadReports = !ok
		s.configure()
	}
}

// requestHealth sends a health request on an idle connection. If the upstream had closed that connection, it sends the
// request again on a new one.
func (s *service) requestHealth(ctx context.Context, c balancing.Candidate) (*http.Response, error) {
	pool, path := s.pool(c.Address), s.currentHealthPath()
	resp, reused, err := s.requestHealthOn(ctx, pool, c, path, false)
	if reused && errors.Is(err, upstreamconn.ErrConnLost) {
		resp, _, err = s.requestHealthOn(ctx, pool, c, path, true)
	}
	return resp, err
}

// requestHealthOn returns the response after reading its body.
func (s *service) requestHealthOn(
	ctx context.Context, pool *upstreamconn.Pool, c balancing.Candidate, path string, forceNew bool,
) (resp *http.Response, reused bool, err error) {
	maxIdle := pool.IdleLimit()
	if forceNew {
		maxIdle = 0
	}
	conn, err := s.connect(ctx, pool, c.Address, maxIdle, "")
	if err != nil {
		return nil, false, err
	}
	resp, err = s.exchangeHealth(ctx, conn, c, path)
	return resp, conn.Reused(), err
}

// exchangeHealth requests the health of an upstream on a connection. It returns the response after reading its body.
func (s *service) exchangeHealth(ctx context.Context, conn *upstreamconn.Conn, c balancing.Candidate, path string) (*http.Response, error) {
	s.cfg.Metrics.traffic.countHealth(conn, c.Zone != s.cfg.Zone)
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: c.Address, Path: path}, Host: c.Address,
		Header: http.Header{"User-Agent": {""}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	resp, _, err := conn.Exchange(ctx, r)
	if err != nil {
		return nil, err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBody+1))
	if n > maxHealthBody {
		err = errHealthBodyTooLong
	}
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	return resp, err
}

func (s *service) currentHealthPath() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthPath
}

func (s *service) mayProbe(upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.MayProbe(upstream, time.Now())
}

// certainlyUnreachable reports whether a failure to connect is reported to the other gateways. A single connection attempt without a
// response is not where ReuseConnections is set: a lossy network loses the packets of some attempts to every upstream, and the
// reports of all gateways would then make all upstreams suspect. The caller holds mu.
func (s *service) certainlyUnreachable(upstream string, err error) bool {
	return !s.cfg.ReuseConnections || errors.Is(err, syscall.ECONNREFUSED) || s.balancer.RepeatedlyUnreachable(upstream)
}
