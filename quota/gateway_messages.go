package quota

import "time"

// aloneResendAfter replaces resendAfter while no owner responds. The requests then list all accounts with a share.
const aloneResendAfter = 200 * time.Millisecond

// resend returns the time after which an unanswered request is sent again.
func (g *Gateway) resend(now time.Duration) time.Duration {
	switch {
	case g.Alone(now):
		return aloneResendAfter
	case g.waiting > 0:
		return resendAfter
	}
	return KeepAlive
}

func (g *Gateway) lastSentAt() time.Duration { return g.sentAt[g.seq%sentTimes] }

// NextRequest returns the request to send now, if one is due.
func (g *Gateway) NextRequest(now time.Duration) (Request, bool) {
	if g.unanswered && now-g.lastSentAt() < g.resend(now) {
		return Request{}, false
	}
	due := g.keepAliveDue(now)
	r := Request{Gateway: g.name, Incarnation: g.incarnation, Seq: g.seq + 1, Acked: g.acked, Term: g.term}
	for _, a := range g.ordered {
		a.dropExpired(now)
		spare := a.spare(now)
		needed := a.needs(now)
		// A share of an earlier term is reported at once: the new owner withholds it until then. While the gateway is alone, the
		// next owner may be a new one.
		share := a.hasShare(g, now) && (a.term != g.term || g.unanswered)
		due = due || needed || spare > 0 || share
		if !needed && spare == 0 && !share && a.used == a.usedAcked && a.unused == a.unusedAcked {
			continue
		}
		r.Items = append(r.Items, g.item(a, spare, now))
	}
	if !due {
		return Request{}, false
	}
	g.seq++
	g.sentAt[g.seq%sentTimes] = now
	for _, i := range r.Items {
		a := g.accounts[i.Account]
		a.arrived, a.usedSent, a.unusedSent = 0, a.used, a.unused
		if i.Spare > 0 {
			a.spareAt = now + prefetchTime/2 // the owner may have too few
		}
	}
	if !g.unanswered {
		g.unanswered, g.unansweredSince = true, now
		g.episode++
	}
	return r, true
}

func (g *Gateway) item(a *localAccount, spare uint32, now time.Duration) RequestItem {
	i := RequestItem{Account: a.name, Spare: spare, Arrived: a.arrived, Used: a.used, Unused: a.unused, Received: a.received}
	if a.needs(now) {
		i.Need = uint32(a.waiting)
	}
	if a.hasShare(g, now) {
		i.Share, i.Allotted, i.Term = float32(a.share), float32(a.allotted), a.term
		if a.term != g.term || g.unanswered {
			i.Return, i.AgeMillis = float32(a.left(g, now)), uint32((now - a.grantedAt).Milliseconds())
		}
	}
	return i
}

func (g *Gateway) keepAliveDue(now time.Duration) bool {
	if now-g.lastSentAt() < KeepAlive {
		return false
	}
	for _, a := range g.ordered {
		if a.hasShare(g, now) {
			return true
		}
	}
	return false
}

// NextDue returns when NextRequest and, for requests that wait, Decide are to be called at the latest. It returns false if that is
// not before the next request of a client.
func (g *Gateway) NextDue(now time.Duration) (time.Duration, bool) {
	switch {
	case g.waiting > 0 && g.Alone(now):
		return now + resendAfter, true // what accrues may suffice
	case g.waiting > 0 && g.unanswered:
		return max(now, min(g.lastSentAt()+resendAfter, g.unansweredSince+aloneAfter)), true
	case g.waiting > 0:
		return now + minWait, true
	}
	for _, a := range g.ordered {
		if a.hasShare(g, now) {
			return max(now, g.lastSentAt()+KeepAlive), true
		}
	}
	return 0, false
}

// Receive takes the tokens and shares of a grant.
func (g *Gateway) Receive(grant Grant, now time.Duration) {
	if grant.Term < g.term || grant.Seq > g.seq || grant.Seq+sentTimes <= g.seq {
		return // of a former leader, or too late
	}
	g.term = grant.Term
	g.acked = max(g.acked, grant.Seq)
	sentAt := g.sentAt[grant.Seq%sentTimes]
	g.answeredAt = max(g.answeredAt, sentAt)
	g.unanswered = grant.Seq != g.seq
	g.unansweredSince = g.lastSentAt()
	for _, i := range grant.Items {
		a := g.accounts[i.Account]
		if a == nil {
			continue
		}
		if grant.Seq == g.seq {
			a.usedAcked, a.unusedAcked = a.usedSent, a.unusedSent
		}
		if i.Tokens > 0 {
			a.received += uint64(i.Tokens)
			a.batches = append(a.batches, batch{i.Tokens, sentAt + tokenLife})
		}
		if i.Unlimited {
			continue
		}
		a.share, a.allotted, a.reserve = float64(i.Share), float64(i.Allotted), float64(i.Reserve)
		a.term, a.grantedAt, a.granted = grant.Term, sentAt, true
		if !i.Renewal {
			a.blocked, a.hold = i.WaitMillis > 0, i.Hold
			a.blockedUntil = now + time.Duration(i.WaitMillis)*time.Millisecond
			a.tokenAt = now + time.Duration(i.TokenMillis)*time.Millisecond
		}
	}
}
