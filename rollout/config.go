package rollout

import "time"

// Config holds the bounds that operators set.
type Config struct {
	// ExposeShare and ExposeSlack bound the attempts at a faulty version: ExposeShare times the requests of the service between the
	// order and its deadline, plus ExposeSlack.
	ExposeShare, ExposeSlack float64
}

const (
	// firstShare is the part of ExposeShare that the new version gets until the rates of the routes are known.
	firstShare = 0.5
	// trialRate is the number of requests per second with which a version is tried. A version of which half the responses are faulty
	// is found after 12 to 45 responses.
	trialRate = 30.0
	// minTrialShare and maxTrialShare bound the share in the trial, as parts of ExposeShare. What is left is for the bursts, the
	// retries, and the requests that the version gets in the last steps before it is found to be faulty under the full load.
	minTrialShare, maxTrialShare = 0.3, 0.75
	// trialSlack is the part of ExposeSlack that the trial may use. It lets a service with few requests be tried at all.
	trialSlack = 0.6
	// maxRouteShare bounds the share of a route with few requests.
	maxRouteShare = 0.5
	// shareChange is the relative change of a share from which it is adjusted.
	shareChange = 0.25
	// shareInterval is the least time between two adjustments in the trial. The rates are known about a second after the order.
	shareInterval = time.Second
	// settleTime is the least time for which a leader collects evidence before it takes a step. Reports arrive within 500 ms.
	settleTime = 600 * time.Millisecond

	// reserveTime and reservePart bound the time before the end of the duration at which the trial ends. The last steps take 1.5 s,
	// the last requests at the old version, on slow upstreams, 2.4 s, and a change of the leader 1.5 s, in part at the same time.
	reserveTime = 4500 * time.Millisecond
	reservePart = 0.45
	// maxRampShare is the largest share before the last step, and rampBudget the part of the remaining exposure that may be used
	// with it.
	maxRampShare = 0.35
	rampBudget   = 0.35
	// rampTime is the time with that share, in which slow responses show too. rampPart bounds it as a part of the duration.
	rampTime = 1500 * time.Millisecond
	rampPart = 0.15
	// latestStep is the time before the end at which a step no longer waits for more evidence.
	latestStep = 2500 * time.Millisecond
	// minEvidence is the number of attempts at the new version without which no step is taken, and fewRequests the number of
	// requests of the service below which there need not be any.
	minEvidence = 8
	fewRequests = 100
	// fullTime is the time with all requests at the new version before the old one is given up, and minFullTime replaces it if the
	// end is closer than finishReserve. Slow responses show after a second.
	fullTime, minFullTime = 1800 * time.Millisecond, 700 * time.Millisecond
	finishReserve         = 1250 * time.Millisecond
	// usualTime is the time that requests at the old version are given to end. On an upstream that is slow it takes 2.4 s.
	usualTime = 3 * time.Second
	// finishTime is the time before the end of the duration at which the remaining requests at the old version are no longer
	// waited for.
	finishTime = 600 * time.Millisecond
	// capacityPart is the number of new upstreams, relative to the old ones, below which the last step waits.
	capacityPart = 0.7
	// withoutEvidence is the time after the duration at which a rollout ends whose new version could not be tried.
	withoutEvidence = time.Second
)

// FirstShare returns the share with which a rollout begins.
func (c Config) FirstShare() float64 { return firstShare * min(1, max(0, c.ExposeShare)) }
