package retrybudget

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets of a window. The start of the window is inaccurate by at most one bucket.
const windowBuckets = 10

// Window limits the extra attempts in any sliding window to a ratio of the first attempts in it, plus a fixed slack. If
// several gateways share one limit, each gets a part of the slack, so that all gateways together stay within the limit
// for any distribution of the traffic. It is safe for concurrent use.
type Window struct {
	mu      sync.Mutex
	length  time.Duration
	ratio   float64
	slack   float64
	origin  time.Time // start of bucket 0; has a monotonic clock reading, because the time of day may jump
	buckets [windowBuckets]bucket
}

type bucket struct {
	number       int64
	first, extra int
}

// NewWindow returns a limit for windows of the given length.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{length: length, ratio: ratio, slack: slack}
}

// SetSlack changes the slack, for instance when the number of gateways has changed.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// RecordFirstAttempt records the first attempt of a request.
func (w *Window) RecordFirstAttempt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucket(now).first++
}

// Take reserves one extra attempt. It reports whether the limit permits it.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.bucket(now)
	first, extra := 0, 0
	for _, b := range w.buckets {
		if b.number > current.number-windowBuckets {
			first += b.first
			extra += b.extra
		}
	}
	if float64(extra+1) > w.ratio*float64(first)+w.slack {
		return false
	}
	current.extra++
	return true
}

// Return gives back an extra attempt that was not made.
func (w *Window) Return(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.bucket(now); b.extra > 0 {
		b.extra--
	}
}

// bucket returns the bucket of the current time, and clears it if it was last used for an earlier one.
func (w *Window) bucket(now time.Time) *bucket {
	if w.origin.IsZero() {
		// Concurrent calls may pass times out of order. The margin of one window keeps bucket numbers from being
		// negative.
		w.origin = now.Add(-w.length)
	}
	number := int64(now.Sub(w.origin) / (w.length / windowBuckets))
	b := &w.buckets[number%windowBuckets]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}
