package standin

import "time"

// cold reports whether the upstream is in cold start.
func (w *workSimulator) cold() bool {
	return w.behaviour.ColdWork > 0 && w.completedSinceCold < w.behaviour.ColdWork
}

// limit returns how many requests may execute concurrently. During a cold start it grows from ColdSlots to all slots in
// proportion to the completed requests.
func (w *workSimulator) limit() int {
	b := w.behaviour
	if !w.cold() || b.ColdSlots <= 0 || b.ColdSlots >= w.slots {
		return w.slots
	}
	return b.ColdSlots + (w.slots-b.ColdSlots)*w.completedSinceCold/b.ColdWork
}

// duration draws the service time of a request that starts now.
func (w *workSimulator) duration(now time.Time) time.Duration {
	b := w.behaviour
	ms := b.ServiceMS
	if b.Exponential {
		ms *= w.random.ExpFloat64()
	}
	if w.cold() && b.ColdFactor > 1 {
		remaining := 1 - float64(w.completedSinceCold)/float64(b.ColdWork)
		ms *= 1 + (b.ColdFactor-1)*remaining
	}
	if w.straggles(now) {
		ms *= b.StraggleFactor
	}
	return millis(ms)
}

// straggles advances the random straggling periods to now and reports whether the upstream straggles.
func (w *workSimulator) straggles(now time.Time) bool {
	b := w.behaviour
	if b.StraggleFactor <= 0 || b.StraggleGapMS <= 0 || b.StraggleMS <= 0 {
		w.straggling, w.nextToggle = false, time.Time{}
		return b.StraggleFactor > 0
	}
	if w.nextToggle.IsZero() {
		w.nextToggle = now.Add(millis(b.StraggleGapMS * w.random.ExpFloat64()))
	}
	for !now.Before(w.nextToggle) {
		w.straggling = !w.straggling
		mean := b.StraggleGapMS
		if w.straggling {
			mean = b.StraggleMS
		}
		w.nextToggle = w.nextToggle.Add(millis(mean*w.random.ExpFloat64()) + 1) // at least 1 ns, so that the loop terminates
	}
	return w.straggling
}

// beginColdStart begins a new cold start.
func (w *workSimulator) beginColdStart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completedSinceCold = 0
}

func (w *workSimulator) setBehaviour(b Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behaviour = b
	w.fillSlots()
}

func (w *workSimulator) currentBehaviour() Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.behaviour
}

// load returns the actual load. During a cold start, slots is the reduced number unless the behaviour hides the cold start.
func (w *workSimulator) load() (inflight, slots int, cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	slots = w.slots
	if !w.behaviour.ColdHidden {
		slots = w.limit()
	}
	return w.executing + len(w.queue), slots, w.cold()
}

// draw reports whether a random event with the given probability, in percent, occurs.
func (w *workSimulator) draw(percent float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.drawLocked(percent)
}

// updateCounts calls f with the counters while the lock is held.
func (w *workSimulator) updateCounts(f func(*workCounts)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.counts)
}

// snapshotCounts returns the counters. If reset is set, it then resets them, except for the number of open connections.
func (w *workSimulator) snapshotCounts(reset bool) workCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := w.counts
	if reset {
		w.counts = workCounts{ConnectionsOpen: counts.ConnectionsOpen, MaxConnections: counts.ConnectionsOpen}
		w.recordPeaks()
	}
	return counts
}
