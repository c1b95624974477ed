package admission

import "time"

// Probe permits the caller to probe an upstream once. The caller ends every probe with Scheduler.ProbeDone.
type Probe struct {
	UpstreamID string
	Epoch      uint64
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	// OK is set if the upstream responded and Report is valid.
	OK     bool
	Report Report
	// Bytes is the total size of the request and the response.
	Bytes int
}

// probeState holds the probe budget of one upstream as two token buckets, for requests and for bytes. The request bucket
// holds at most one probe, and the byte bucket one second of the byte rate, but at least ProbeReserveBytes. Both start
// empty, because the former owner may have just spent its budget. The bound on bursts therefore holds for all owners
// together.
type probeState struct {
	requests, bytes float64
	refilledAt      time.Time
	running         bool
	// reportedAt is the time of the upstream's last load report, in a response or a probe.
	reportedAt time.Time
	// dispatchPaused stops dispatches to the upstream until a probe that needs it idle has ended. The probe starts as soon
	// as the upstream has no requests of this gateway in flight, or at pausedUntil.
	dispatchPaused bool
	pausedUntil    time.Time
}

func byteBurst(cfg *Config) float64 {
	return max(float64(cfg.ProbeBytesPerSecond), ProbeReserveBytes)
}

func (p *probeState) refill(cfg *Config, now time.Time) {
	if seconds := now.Sub(p.refilledAt).Seconds(); seconds > 0 {
		p.requests = min(1, p.requests+seconds*cfg.ProbesPerSecond)
		p.bytes = min(byteBurst(cfg), p.bytes+seconds*float64(cfg.ProbeBytesPerSecond))
		p.refilledAt = now
	}
}

// nextTokenAt returns the time at which the budget next permits a probe. It adds one nanosecond, because the wait is
// truncated to whole nanoseconds.
func (p *probeState) nextTokenAt(cfg *Config, now time.Time) time.Time {
	seconds := max((1-p.requests)/cfg.ProbesPerSecond, (ProbeReserveBytes-p.bytes)/float64(cfg.ProbeBytesPerSecond))
	if seconds <= 0 {
		return now
	}
	return now.Add(time.Duration(seconds*float64(time.Second)) + time.Nanosecond)
}

// probeDueAt returns the time at which the upstream should be probed. Load reports in responses make probes unnecessary,
// unless requests of a former owner may be running or it is unconfirmed whether the upstream is warm.
func (u *upstream) probeDueAt(cfg *Config, now time.Time) time.Time {
	at := u.probe.nextTokenAt(cfg, now)
	if u.formerOwnerInFlight == 0 && !u.possiblyWarm && !u.probe.reportedAt.IsZero() {
		if next := u.probe.reportedAt.Add(probeInterval(cfg)); next.After(at) {
			return next
		}
	}
	return at
}

func probeInterval(cfg *Config) time.Duration {
	return time.Duration(float64(time.Second) / cfg.ProbesPerSecond)
}

// pollProbes adds the probes that may start now to the actions and schedules the wake-up for the next one.
func (s *Scheduler) pollProbes(now time.Time) {
	if s.cfg.Policy != PolicyOwner || s.cfg.ProbesPerSecond <= 0 || s.cfg.ProbeBytesPerSecond <= 0 {
		return
	}
	for _, u := range s.upstreamList {
		if !u.usable() || u.probe.running {
			continue
		}
		u.probe.refill(&s.cfg, now)
		if at := u.probeDueAt(&s.cfg, now); at.After(now) {
			s.wakeAt(at)
			continue
		}
		if s.pauseDispatchForProbe(u, now) {
			s.wakeAt(u.probe.pausedUntil)
			continue
		}
		u.probe.running = true
		u.probe.requests--
		u.probe.bytes -= ProbeReserveBytes
		s.actions.Probes = append(s.actions.Probes, Probe{UpstreamID: u.info.ID, Epoch: u.info.Epoch})
	}
}

// pauseDispatchForProbe pauses dispatches before a probe while requests of a former owner may be running, and reports
// whether the probe must wait. A load report does not distinguish them from this gateway's own requests, so without a pause
// no report would show under steady traffic that they have ended.
func (s *Scheduler) pauseDispatchForProbe(u *upstream, now time.Time) bool {
	if u.formerOwnerInFlight == 0 || len(u.inFlight) == 0 {
		return false
	}
	if !u.probe.dispatchPaused {
		u.probe.dispatchPaused, u.probe.pausedUntil = true, now.Add(maxDispatchPause)
	}
	return now.Before(u.probe.pausedUntil)
}

// ProbeDone ends a probe, charges its actual size and applies the report. A probe of an earlier epoch is ignored.
func (s *Scheduler) ProbeDone(p Probe, r ProbeResult, now time.Time) {
	u := s.upstreams[p.UpstreamID]
	if u == nil || u.info.Epoch != p.Epoch || !u.probe.running {
		return
	}
	u.probe.running, u.probe.dispatchPaused = false, false
	u.probe.refill(&s.cfg, now)
	u.probe.bytes += float64(ProbeReserveBytes - r.Bytes)
	if r.OK {
		s.applyReport(u, r.Report, now)
	}
}
