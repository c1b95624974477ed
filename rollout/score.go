package rollout

import "math"

// score compares how often two versions give a kind of bad response, stratified by time as in the test of Mantel and Haenszel:
// within each short period, it compares the bad responses of the new version with the number to be expected if both versions were
// alike. A fault that both versions suffer for a time therefore says nothing against the new one, whatever its share was then.
type score struct {
	oldBad, oldTotal float64 // responses of the old version
	// responses and bad count those of the new version; expected is the number of bad ones to be expected, and variance that of the
	// difference.
	responses, bad, expected, variance float64
}

// add adds a period in which bad of total responses of each version were bad.
func (s *score) add(oldBad, oldTotal, newBad, newTotal float64) {
	n, m := oldTotal+newTotal, oldBad+newBad
	if oldTotal < minBaseline || newTotal == 0 {
		return
	}
	s.oldBad, s.oldTotal = s.oldBad+oldBad, s.oldTotal+oldTotal
	s.responses += newTotal
	s.bad += newBad
	s.expected += newTotal * m / n
	s.variance += oldTotal * newTotal * m * (n - m) / (n * n * (n - 1))
}

func (s *score) plus(o score) {
	s.oldBad, s.oldTotal = s.oldBad+o.oldBad, s.oldTotal+o.oldTotal
	s.responses, s.bad, s.expected, s.variance = s.responses+o.responses, s.bad+o.bad, s.expected+o.expected, s.variance+o.variance
}

const (
	// minBaseline is the number of responses of the old version below which a period is left out, and enoughBaseline the number that
	// is used even if the new version had more.
	minBaseline, enoughBaseline = 5.0, 100.0
	// minBad is the number of bad responses of the new version below which it does not count as faulty.
	minBad = 6
	// decisive is the difference in standard deviations from which the new version counts as faulty. Chance exceeds it in 3 of a
	// million comparisons; there are some thousand in a rollout, most of which depend on each other.
	decisive = 4.5
	// unitVariance is added to the variance, because the distribution of a few bad responses has a longer tail than the normal one.
	unitVariance = 0.5
)

// level returns the strength of the evidence against the new version: 1 is decisive.
func (s *score) level(by sensitivity) float64 {
	excess := s.bad - s.expected
	if s.responses == 0 || excess < by.difference*s.responses || s.oldBad > by.baseline*s.oldTotal {
		return 0
	}
	level := excess / math.Sqrt(by.dispersion*s.variance+unitVariance) / decisive
	if s.bad < minBad {
		level = min(level, suspicion)
	}
	return level
}
