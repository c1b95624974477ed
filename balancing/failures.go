package balancing

import "time"

// RecordReportedFailures records failed requests and connections to an upstream that other gateways reported, and
// requests that this gateway found overdue. It reports whether the upstream became suspect because of them. With many
// gateways, each one sends too few requests to an upstream to detect failures by itself.
func (s *Service) RecordReportedFailures(id string, failures int, now time.Time) bool {
	u := s.upstreams[id]
	if u == nil {
		return false
	}
	before := u.suspect(now)
	u.reportedFailures, u.reportedAt = min(maxReportedScore, u.reportedScore(now)+reportedFailureWeight*float64(failures)), now
	return !before && u.suspect(now)
}

// mostSuspect reports whether most upstreams are suspect. The reports of other gateways do not tell the upstreams apart then. Their
// likely cause is a network that loses packets, and searching for one that is not suspect would probe all of them.
func (s *Service) mostSuspect(now time.Time) bool {
	suspects := 0
	for _, u := range s.upstreams {
		if u.suspect(now) {
			suspects++
		}
	}
	return 2*suspects > len(s.upstreams)
}

// RecordUnreachable records that an upstream could not be reached or did not respond to a probe.
func (s *Service) RecordUnreachable(id string, now time.Time) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.backoff = min(max(2*u.backoff, minBackoff), maxBackoff)
	u.backoffUntil = now.Add(u.backoff)
}

// RepeatedlyUnreachable reports whether the upstream was unreachable more than once in a row.
func (s *Service) RepeatedlyUnreachable(id string) bool {
	u := s.upstreams[id]
	return u != nil && u.backoff > minBackoff
}

// RecordFailure records a failure of an upstream after the end of the request.
func (s *Service) RecordFailure(id string, now time.Time) {
	if u := s.upstreams[id]; u != nil {
		u.recordFailure(now)
	}
}
