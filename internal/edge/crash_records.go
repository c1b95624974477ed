package edge

import (
	"sync"
	"time"

	"github.com/bramleypick/bramleypick/crashguard"
)

const (
	// lossesToBlock is the number of upstreams that were lost while they ran a request from which requests like it are
	// refused.
	lossesToBlock = 3
	// crashMemory is how long such requests are refused after the last loss.
	crashMemory = 10 * time.Minute
	// maxCrashRecords bounds the requests for which losses are recorded.
	maxCrashRecords = 1024
	// successMemory is how long a success proves that a request does not crash upstreams, and maxSuccesses bounds the
	// successes that are remembered. Both apply to each of two generations.
	successMemory = time.Minute
	maxSuccesses  = 2048
)

// crashRecord is the number of upstreams that were lost while they ran requests with one fingerprint.
type crashRecord struct {
	losses   int
	lastLoss time.Time
}

// crashRecords counts lost upstreams by the fingerprint of the request that they were running. A request that was
// answered successfully does not crash upstreams: it only happened to run on upstreams that were lost. Its losses are
// dropped, since frequent requests run on many upstreams. It is safe for concurrent use.
type crashRecords struct {
	mu              sync.Mutex
	byFingerprint   map[string]*crashRecord
	succeeded, past map[string]bool // fingerprints with a success in the current and the previous generation
	generationStart time.Time
}

func newCrashRecords() *crashRecords {
	return &crashRecords{byFingerprint: make(map[string]*crashRecord), succeeded: make(map[string]bool), past: make(map[string]bool)}
}

// recordLosses counts lost upstreams. It returns false if a recent success shows that the request is not the cause.
func (c *crashRecords) recordLosses(fingerprint string, losses int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startGeneration(now)
	if c.succeeded[fingerprint] || c.past[fingerprint] {
		return false
	}
	r := c.byFingerprint[fingerprint]
	if r == nil || now.Sub(r.lastLoss) >= crashMemory {
		c.evict(now)
		r = &crashRecord{}
		c.byFingerprint[fingerprint] = r
	}
	r.losses, r.lastLoss = r.losses+losses, now
	return true
}

// recordSuccess drops the losses of a request that was answered successfully, here or at another gateway.
func (c *crashRecords) recordSuccess(fingerprint string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startGeneration(now)
	if len(c.succeeded) < maxSuccesses {
		c.succeeded[fingerprint] = true
	}
	delete(c.byFingerprint, fingerprint)
}

func (c *crashRecords) startGeneration(now time.Time) {
	if now.Sub(c.generationStart) >= successMemory {
		c.past, c.succeeded, c.generationStart = c.succeeded, make(map[string]bool), now
	}
}

// blocked reports whether requests with the fingerprint are refused.
func (c *crashRecords) blocked(fingerprint string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byFingerprint[fingerprint]
	return r != nil && r.losses >= lossesToBlock && now.Sub(r.lastLoss) < crashMemory
}

// all returns the records that have not expired, by fingerprint.
func (c *crashRecords) all(now time.Time) map[string]crashguard.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make(map[string]crashguard.Record, len(c.byFingerprint))
	for fingerprint, r := range c.byFingerprint {
		if age := now.Sub(r.lastLoss); age < crashMemory {
			records[fingerprint] = crashguard.Record{Losses: r.losses, Age: max(0, age)}
		}
	}
	return records
}

// merge merges the records of another gateway. Both may have counted the same losses, so the larger number is kept.
func (c *crashRecords) merge(records map[string]crashguard.Record, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startGeneration(now)
	for fingerprint, record := range records {
		if c.succeeded[fingerprint] || c.past[fingerprint] || record.Losses <= 0 || record.Age < 0 || record.Age >= crashMemory {
			continue
		}
		r := c.byFingerprint[fingerprint]
		if r == nil {
			c.evict(now)
			r = &crashRecord{}
			c.byFingerprint[fingerprint] = r
		}
		r.losses = max(r.losses, record.Losses)
		if lastLoss := now.Add(-record.Age); lastLoss.After(r.lastLoss) {
			r.lastLoss = lastLoss
		}
	}
}

// evict makes room for a record. It drops expired ones, or else the one whose last loss is the oldest.
func (c *crashRecords) evict(now time.Time) {
	if len(c.byFingerprint) < maxCrashRecords {
		return
	}
	oldest := ""
	for fingerprint, r := range c.byFingerprint {
		if now.Sub(r.lastLoss) >= crashMemory {
			delete(c.byFingerprint, fingerprint)
		} else if oldest == "" || r.lastLoss.Before(c.byFingerprint[oldest].lastLoss) {
			oldest = fingerprint
		}
	}
	if len(c.byFingerprint) >= maxCrashRecords {
		delete(c.byFingerprint, oldest)
	}
}
