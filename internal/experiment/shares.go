package experiment

import (
	"context"
	"sync"
	"time"
)

const (
	sampleInterval = 100 * time.Millisecond
	// shareWindowSamples is the number of sample intervals over which the share of a zone is computed.
	shareWindowSamples = 5
	// restoredShareRatio is the fraction of its fair share at or above which a zone counts as restored.
	restoredShareRatio = 0.8
)

// ZoneSample is the number of requests that the upstreams of each zone have started so far.
type ZoneSample struct {
	AtMillis int64          `json:"at_ms"`
	Started  map[string]int `json:"started"`
}

// shareSampler periodically samples the number of requests started in each zone.
type shareSampler struct {
	deployment *deployment
	cancel     context.CancelFunc
	done       chan struct{}
	startedAt  time.Time

	mu      sync.Mutex
	samples []ZoneSample
}

func (d *deployment) startSampler(ctx context.Context) *shareSampler {
	ctx, cancel := context.WithCancel(ctx)
	s := &shareSampler{deployment: d, cancel: cancel, done: make(chan struct{}), startedAt: time.Now()}
	go s.run(ctx)
	return s
}

func (s *shareSampler) run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sample(ctx)
		}
	}
}

// sample records one sample, or none if the upstreams' reports cannot be read.
func (s *shareSampler) sample(ctx context.Context) {
	at := time.Since(s.startedAt).Milliseconds()
	reports, err := s.deployment.reports(ctx, false)
	if err != nil {
		return
	}
	started := make(map[string]int)
	for i, r := range reports {
		for _, u := range r.Upstreams {
			started[s.deployment.standins[i].group.zone] += u.Work.Executed
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, ZoneSample{AtMillis: at, Started: started})
}

func (s *shareSampler) stop() []ZoneSample {
	s.cancel()
	<-s.done
	return s.samples
}

// waitForShare waits until the stopped zone has its share of the requests again. It returns the time from since in ms,
// or -1 if the deadline passed or ctx ended first.
func (s *shareSampler) waitForShare(ctx context.Context, since, deadline time.Time) int64 {
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if s.hasRestoredShare(since) {
			return time.Since(since).Milliseconds()
		}
		time.Sleep(sampleInterval)
	}
	return -1
}

// hasRestoredShare reports whether, over the last window, the stopped zone started at least restoredShareRatio of its
// fair share of the requests. The fair share is one third, because a third of the upstreams are in the zone. It returns
// false while the window begins before since.
func (s *shareSampler) hasRestoredShare(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) <= shareWindowSamples {
		return false
	}
	last := s.samples[len(s.samples)-1]
	first := s.samples[len(s.samples)-1-shareWindowSamples]
	if s.startedAt.Add(time.Duration(first.AtMillis) * time.Millisecond).Before(since) {
		return false
	}
	total := 0
	for zone := range last.Started {
		total += last.Started[zone] - first.Started[zone]
	}
	inStoppedZone := last.Started[stoppedZone] - first.Started[stoppedZone]
	return total > 0 && float64(inStoppedZone)/float64(total) >= restoredShareRatio/float64(len(zoneNames))
}
