package balancing

import (
	"math"
	"time"
)

// NoLimit is the request limit of an upstream that names none.
const NoLimit = -1.0

const (
	// spareSenders is the number of gateways, in addition to one for each request per second, among which a request limit
	// is divided. A larger number would let more requests coincide, a smaller one would use less of the limit.
	spareSenders = 2
	// senderBurst is the capacity of the token bucket of a sender if there are enough gateways. Gateways do not always have
	// a request when a token becomes available.
	senderBurst = 1.5
	// minRequestLimit is the limit in requests per second that replaces a lower one. Without any request, nothing would
	// show that the limit has ended.
	minRequestLimit = 0.25
	// limitExpiry is the time after which a limit that neither a response nor a report has confirmed is dropped.
	limitExpiry = 10 * time.Second
	// limitReportInterval is the time after which a limit that has not changed is reported to the other gateways again,
	// for those that have started meanwhile or missed a report.
	limitReportInterval = 2 * time.Second
	// limitTolerance is the relative change from which a limit is reported before limitReportInterval has passed.
	limitTolerance = 0.1
)

// requestLimit is the number of requests per second that an upstream accepts from all gateways together, and this
// gateway's part of it. A limit of l requests per second is divided equally among l+2 gateways, which are selected by
// rendezvous hashing, so that no messages are needed for each request. Each of them has a token bucket. Together they send
// at most l*t + 1.5*(l+2) requests in any t seconds. The other gateways send none.
type requestLimit struct {
	perSecond   float64
	confirmedAt time.Time
	reportedAt  time.Time // when this or another gateway last reported the limit
	reported    float64   // the limit in that report

	// isSender caches the result of Upstream.IsSender for the current limit. It is valid if selected is set.
	isSender, selected bool
	tokens             float64
	refilledAt         time.Time
}

func (l *requestLimit) expired(now time.Time) bool { return now.Sub(l.confirmedAt) > limitExpiry }

// senders returns the number of gateways among which the limit is divided.
func (l *requestLimit) senders(gateways int) int {
	if l.perSecond >= float64(gateways) {
		return max(1, gateways)
	}
	return min(gateways, int(l.perSecond)+spareSenders)
}

// set replaces the limit. Its tokens are kept, so that a limit that varies does not allow a burst.
func (l *requestLimit) set(perSecond float64, now time.Time) {
	perSecond = max(perSecond, minRequestLimit)
	if perSecond != l.perSecond {
		l.perSecond, l.selected = perSecond, false
	}
	l.confirmedAt = now
}

// selectSender determines whether this gateway is a sender. A gateway that becomes one starts without tokens, because its
// predecessor may just have used its own.
func (l *requestLimit) selectSender(u *upstreamState, gateways int, now time.Time) {
	if l.selected {
		return
	}
	was := l.isSender
	l.isSender, l.selected = u.IsSender != nil && u.IsSender(l.senders(gateways)), true
	if !was {
		l.tokens, l.refilledAt = 0, now
	}
}

// untilToken returns the time until this gateway may send the next request: zero if it may send one now, and
// math.MaxInt64 if it is not a sender.
func (l *requestLimit) untilToken(u *upstreamState, gateways int, now time.Time) time.Duration {
	l.selectSender(u, gateways, now)
	if !l.isSender {
		return math.MaxInt64
	}
	senders := float64(l.senders(gateways))
	rate, burst := l.perSecond/senders, senderBurst*(l.perSecond+spareSenders)/senders
	l.tokens = min(burst, l.tokens+now.Sub(l.refilledAt).Seconds()*rate)
	l.refilledAt = now
	if l.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - l.tokens) / rate * float64(time.Second))
}

// untilWithinLimit returns the time until the request limit of an upstream allows a request, or zero if it allows one now.
func (s *Service) untilWithinLimit(u *upstreamState, now time.Time) time.Duration {
	if u.limit == nil {
		return 0
	}
	if u.limit.expired(now) {
		u.limit = nil
		return 0
	}
	return u.limit.untilToken(u, s.cfg.Gateways, now)
}

// LimitedUpstreams returns the number of upstreams that name a request limit.
func (s *Service) LimitedUpstreams() int {
	n := 0
	for _, u := range s.upstreams {
		if u.limit != nil {
			n++
		}
	}
	return n
}

// RecordLimit records the request limit that a response of an upstream names, or NoLimit if it names none. changed reports
// whether a limit began or ended. report is set if the other gateways should be told.
func (s *Service) RecordLimit(id string, perSecond float64, now time.Time) (changed, report bool) {
	u := s.upstreams[id]
	if u == nil {
		return false, false
	}
	changed = u.setLimit(perSecond, now)
	if u.limit == nil {
		return changed, changed
	}
	l := u.limit
	outdated := math.Abs(l.perSecond-l.reported) > limitTolerance*l.reported
	if changed || outdated || now.Sub(l.reportedAt) >= limitReportInterval {
		l.reported, l.reportedAt = l.perSecond, now
		return changed, true
	}
	return changed, false
}

// RecordReportedLimit records a request limit that another gateway reported, or NoLimit. It reports whether a limit began
// or ended.
func (s *Service) RecordReportedLimit(id string, perSecond float64, now time.Time) bool {
	u := s.upstreams[id]
	if u == nil {
		return false
	}
	changed := u.setLimit(perSecond, now)
	if u.limit != nil {
		u.limit.reported, u.limit.reportedAt = u.limit.perSecond, now
	}
	return changed
}

// setLimit replaces the request limit. It reports whether a limit began or ended.
func (u *upstreamState) setLimit(perSecond float64, now time.Time) bool {
	before := u.limit != nil
	switch {
	case perSecond < 0:
		u.limit = nil
	case u.limit == nil:
		u.limit = &requestLimit{}
		fallthrough
	default:
		u.limit.set(perSecond, now)
	}
	return before != (u.limit != nil)
}
