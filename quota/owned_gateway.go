package quota

import (
	"slices"
	"time"
)

// ownedGateway is what the owner knows of a gateway.
type ownedGateway struct {
	name        string
	incarnation int64
	heardAt     time.Duration
	// silent is set once nothing was heard for silentAfter. The gateway then uses its shares on its own.
	silent bool
	// reviewedAt is when all shares were last compared with the demand.
	reviewedAt time.Duration
	shares     map[string]*heldShare // by account
	ordered    []*heldShare          // shares in the order of their first request
}

// heldShare is the share of one account that a gateway may hold.
type heldShare struct {
	name    string
	account *ownedAccount
	// held is the largest share that the gateway may believe to have, sent the last one sent, with the request of number sentSeq.
	held, sent float64
	// counted is the part of ownedAccount.allotted that is this share's.
	counted float64
	sentSeq uint64
	// askedAt is when the gateway last asked for tokens of the account.
	askedAt time.Duration
	// reserve is the Reserve that was last sent.
	reserve float64
	// charged is what was withheld from the bucket when the gateway fell silent, and since.
	charged float64
	// chargedAt is the time up to which the share is charged.
	chargedAt time.Duration
	demand    demand
	// granted is Received plus the tokens on their way, the last of which were granted at grantedAt.
	granted   uint64
	grantedAt time.Duration
	// used and unused are the last reported counts. They are set if known is.
	used, unused uint64
	known        bool
}

// end ends a share.
func (g *ownedGateway) end(s *heldShare, now time.Duration) {
	a := s.account
	a.refill(now)
	a.allotted = max(0, a.allotted-s.counted)
	a.holders--
	if g.silent {
		a.silent = max(0, a.silent-s.held)
	}
	g.remove(s)
}

func (g *ownedGateway) remove(s *heldShare) {
	delete(g.shares, s.name)
	g.ordered = slices.DeleteFunc(g.ordered, func(other *heldShare) bool { return other == s })
}

// missing returns the needed tokens that are not on their way.
func (s *heldShare) missing(i RequestItem, now time.Duration) uint32 {
	if s.granted <= i.Received || now-s.grantedAt >= lostAfter {
		s.granted = i.Received
		return i.Need
	}
	return i.Need - uint32(min(uint64(i.Need), s.granted-i.Received))
}
