package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/balancing"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
)

const (
	// coldWatchInterval is the time between two health requests to an upstream that reports no load. It can turn cold at any moment,
	// and must not get its usual requests for long then.
	coldWatchInterval = 100 * time.Millisecond
	// coldWatchTimeout bounds such a health request. It waits for a slot like any other request.
	coldWatchTimeout = time.Second
)

// WatchCold requests the health of upstreams that report no load until ctx ends. Those that do are probed before requests. For each
// upstream, the gateway that may send to it while it is cold does this for all gateways.
func (g *Gateway) WatchCold(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	ticker := time.NewTicker(coldWatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, s := range g.allServices() {
			for _, c := range s.beginWatch(time.Now()) {
				requests.Go(func() { s.watch(ctx, c) })
			}
		}
	}
}

func (g *Gateway) allServices() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		all = append(all, s)
	}
	return all
}

// beginWatch returns the upstreams whose health is to be requested now.
func (s *service) beginWatch(now time.Time) []balancing.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportsLoad || s.healthPath == "" || s.coldPerSecond == 0 {
		return nil
	}
	var due []balancing.Candidate
	for _, c := range s.balancer.OwnedWhileCold(now) {
		if !s.watched[c.ID] {
			s.watched[c.ID] = true
			due = append(due, c)
		}
	}
	return due
}

// watch requests the health of an upstream once and records whether it is cold. An upstream that does not respond may be busy.
func (s *service) watch(ctx context.Context, c balancing.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, coldWatchTimeout)
	defer cancel()
	resp, err := s.requestHealth(ctx, c)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched, c.ID)
	p := &s.cfg.Protocol
	if errors.Is(err, upstreamconn.ErrDial) && ctx.Err() == nil {
		s.balancer.RecordUnreachable(c.ID, now)
	}
	if err != nil || resp.Header.Get(p.UpstreamHeader) != c.ID || resp.Header.Get(p.NotRunHeader) != "" {
		return
	}
	if _, ok := p.Load(resp.Header); ok {
		s.reportsLoad = true
	}
	s.recordHints(c, resp, now)
	left := p.WarmupLeft(resp.Header)
	if !s.balancer.RecordHealth(c.ID, c.Incarnation, resp.StatusCode == http.StatusOK, left, now) {
		return
	}
	s.cfg.Log.Info("upstream has turned cold", zap.String("upstream", c.ID), zap.String("service", s.name), zap.Duration("warm_up", left))
	if s.cfg.OnCold != nil {
		s.cfg.OnCold(c.ID, c.Incarnation, left)
	}
}
