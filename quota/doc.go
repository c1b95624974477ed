// Package quota limits the requests of client accounts over all gateways together. An Owner, on the leader of the control group,
// holds a token bucket for each account and grants tokens. A Gateway, one in each process that serves clients, asks for tokens,
// prefetches a few for accounts that it sees often, and decides about each request. While no leader responds, it uses its share of
// the rate, which came with earlier tokens.
//
// The package has no clock, no goroutines and no network. Times are durations since some fixed point, by a clock that counts
// suspensions of the VM; those of different VMs are never compared. Neither type is safe for concurrent use.
//
// The requests of an account in any period of Bound.Window are to stay below (rate * window + burst) * (1 + overage) + slack.
// Tokens of the Owner alone stay below rate * window + burst. The remainder, Bound.extra, covers tokens that are used later than
// they were granted, and what gateways use on their own beyond what the Owner can know of.
package quota
