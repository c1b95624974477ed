package quota

import "time"

const (
	// shareIdle is the time without requests after which a gateway in contact loses its share of an account.
	shareIdle = 30 * time.Second
	// shareLife is the time without contact after which the shares of a gateway end, on both sides. While a gateway is silent
	// its share is withheld from the others, so a longer time would withhold the shares of a lost zone for longer. It outlasts the
	// usual partition of 6 s.
	shareLife = 10 * time.Second
	// KeepAlive is the time after which a gateway that has a share sends a request although it needs nothing.
	KeepAlive = 250 * time.Millisecond
	// silentAfter is the time without a request after which the owner assumes that a gateway uses its share on its own. It allows
	// for one lost request.
	silentAfter = 600 * time.Millisecond
	// settleTime is the time from the start of a term for which the shares that no gateway has reported count as in use elsewhere.
	// Every gateway that reaches the owner has asked by then.
	settleTime = 600 * time.Millisecond
	// aloneAfter is the time without a response after which a gateway uses its share on its own. Responses take 1 to 3 ms, and up
	// to 100 ms where a VM has used up its processor time.
	aloneAfter = 150 * time.Millisecond
	// resendAfter is the time after which an unanswered request is sent again, possibly to another replica.
	resendAfter = 50 * time.Millisecond
	// lostAfter is the time after which granted tokens that the gateway has not received count as lost.
	lostAfter = 300 * time.Millisecond
	// tokenLife is the time from the sending of a request until the tokens granted for it end.
	tokenLife = time.Second
	// prefetchTime is the time for whose demand a gateway prefetches. Most accounts send less than one request per second to each
	// gateway and are not prefetched for.
	prefetchTime = 250 * time.Millisecond
	// prefetchLevel is the part of the burst below which the owner grants no tokens in advance, so that a scarce token goes to a
	// request that waits.
	prefetchLevel = 0.5
	// demandTime is the time constant of the averages of demand.
	demandTime = 6 * time.Second
	// shareChange is the relative decrease from which a share is taken back. Smaller ones are noise, and what is taken back belongs
	// to nobody until another gateway asks.
	shareChange = 0.1
	// maxWait limits the time after which a gateway asks again for an account that the owner has refused a token.
	maxWait = 250 * time.Millisecond
	// blockedAlone is the time for which an account counts as at its limit after the contact to the owner was lost.
	blockedAlone = time.Second
	// minWait is the time after which a request that is held is decided again.
	minWait = 10 * time.Millisecond
	// holdTime is the time from the start of a term for which requests wait instead of being refused: the bucket is empty although
	// the accounts may be below their limits.
	holdTime = 1500 * time.Millisecond
	// reservePart is the part of the bucket's level that is in the reserves of the gateways. The level may fall within the time until
	// the owner finds a gateway silent, and the reserve is used in addition then.
	reservePart = 0.95
	// reserveChange is the change of a reserve, in requests, from which the gateway is told.
	reserveChange = 0.3
	// sharePrior is added to the requests of a gateway in the calculation of its share, so that one whose first request of an
	// account has just arrived gets a share.
	sharePrior = 1
	// retryFloor limits the shortest Retry-After, which otherwise is the time between two tokens of the account.
	retryFloor = time.Second
	// aloneRetryAfter limits what a caller is told while no owner responds. Another one is elected within this time in most cases.
	aloneRetryAfter = 2 * time.Second
	// maxRetryAfter is the time over which refused callers are spread at most, from when a token is available on.
	maxRetryAfter = 5 * time.Second
	// ownSlack is the part of Bound.extra that gateways may use on their own, divided equally among all of them, also those without a
	// share. ownAccrual is the part that gateways with a share may accumulate beyond the burst while they are alone. What is left
	// covers tokens that are used later than granted, and gateways that learn late that the bucket has been emptied. In the simulation
	// more accrual and less slack leads to fewer refusals.
	ownSlack   = 0.15
	ownAccrual = 0.7
	// ownOverdraft is the part of Bound.Slack that the owner may grant in a window of what it withholds. It helps accounts with a few
	// requests per second, of which the slack is a large part.
	ownOverdraft = 0.3
	// heldBack is the part of Bound.extra that the owner may have in its bucket beyond the burst that it does not withhold.
	heldBack = 0.15
	// sweepInterval is the minimum time between two searches for silent gateways.
	sweepInterval = 50 * time.Millisecond
)
