// Package retrybudget limits the extra attempts (retries and hedges) of a service to a percentage of its first
// attempts, plus a small floor for low traffic. Over any period, the extra attempts are at most that percentage of the
// first attempts, plus the floor, plus one burst, so that retries cannot amplify an overload.
//
// Budget implements this limit for one gateway. Window limits the extra attempts in any sliding window instead, and can
// be divided among several gateways.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// FloorPerSecond is the rate of extra attempts that is allowed regardless of the traffic. Without it, services with
	// few requests would hardly get any, because a percentage of their requests rarely adds up to one.
	FloorPerSecond = 0.5
	// Burst bounds the number of accumulated extra attempts.
	Burst = 10.0
	// initialTokens is the number of extra attempts in a new budget.
	initialTokens = 1.0
	// roundingTolerance allows for the rounding errors of adding fractions such as 0.1, which must not cost a whole
	// attempt.
	roundingTolerance = 1e-9
)

// Budget is a token bucket of extra attempts for one service in one gateway. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	percent    int
	tokens     float64
	refilledAt time.Time
}

// New returns a budget. A negative percentage permits no extra attempts at all.
func New(percent int, now time.Time) *Budget {
	return &Budget{percent: percent, tokens: initialTokens, refilledAt: now}
}

// SetPercent changes the percentage. A negative percentage permits no extra attempts at all.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent = percent
}

// RecordFirstAttempt records the first attempt of a request.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.percent > 0 {
		b.tokens = min(Burst, b.tokens+float64(b.percent)/100)
	}
}

// Take reserves one extra attempt. It reports whether the budget permits it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.percent < 0 {
		return false
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(Burst, b.tokens+elapsed.Seconds()*FloorPerSecond)
		b.refilledAt = now
	}
	if b.tokens < 1-roundingTolerance {
		return false
	}
	b.tokens--
	return true
}

// Return gives back an extra attempt that was not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(Burst, b.tokens+1)
}
