package quota

import "time"

// Limit is the limit of an account over all gateways.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests that the account may send at once. It is at least 1, or the account could send none.
	Burst float64
}

// Bound is what operators accept beyond a Limit: in any period of Window, (Rate * Window + Burst) * (1 + Overage) + Slack requests.
type Bound struct {
	Window         time.Duration
	Overage, Slack float64
}

// extra returns the requests in a period of Window beyond Rate * Window + Burst.
func (b Bound) extra(l Limit) float64 { return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack }

// overdraft returns the tokens per second that the owner may grant of what it withholds for gateways that may be alone, which often
// have ended or have no clients any more.
func (b Bound) overdraft() float64 {
	if b.Window <= 0 {
		return 0
	}
	return ownOverdraft * b.Slack / b.Window.Seconds()
}
