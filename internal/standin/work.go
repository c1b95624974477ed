package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// verdict is what became of one request's work.
type verdict int

const (
	completed verdict = iota
	shed              // refused; certainly not run
	failed            // failed fast, or lost in a collapse
	cancelled         // the caller went away or its deadline passed
)

// work simulates the slots of one upstream.
type work struct {
	mu        sync.Mutex
	behaviour Behaviour
	slots     int
	random    *rand.Rand

	executing int
	waiting   []chan struct{} // closed when the waiter gets a slot; first come, first served
	warmth    int             // requests completed since the last cold start
	collapsed time.Time       // everything fails until then
	collapse  chan struct{}   // closed at the start of the next collapse

	straggling bool
	toggle     time.Time // when straggling changes; zero before the first request

	counts workCounts
}

// workCounts are the counters of one upstream, since its start or the last reset.
type workCounts struct {
	Arrived         int   `json:"arrived"`
	Executed        int   `json:"executed"`
	Completed       int   `json:"completed"`
	Shed            int   `json:"shed"`
	Failed          int   `json:"failed"`
	Cancelled       int   `json:"cancelled"`
	Collapses       int   `json:"collapses"`
	MostExecuting   int   `json:"most_executing"`
	MostAtOnce      int   `json:"most_at_once"`      // executing and queued
	MostAtOnceCold  int   `json:"most_at_once_cold"` // the same, in cold start
	MostBeyondCold  int   `json:"most_beyond_cold"`  // the same, less what the upstream could bear at that moment
	LastNewUnixMS   int64 `json:"last_new_request_unix_ms"`
	HealthRequests  int   `json:"health_requests"`
	Crashes         int   `json:"crashes"`
	ConnectionsOpen int   `json:"connections_open"`
	MostConnections int   `json:"most_connections"`
}

func newWork(slots int, b Behaviour, seed uint64) *work {
	return &work{behaviour: b, slots: slots, random: rand.New(rand.NewPCG(seed, 1)), collapse: make(chan struct{})}
}

// run admits, queues and executes one request. started is called when it begins to execute.
func (w *work) run(ctx context.Context, started func()) verdict {
	v := w.admitAndExecute(ctx, started)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch v {
	case completed:
		w.counts.Completed++
	case shed:
		w.counts.Shed++
	case failed:
		w.counts.Failed++
	case cancelled:
		w.counts.Cancelled++
	}
	return v
}

func (w *work) admitAndExecute(ctx context.Context, started func()) verdict {
	w.mu.Lock()
	now := time.Now()
	w.counts.Arrived++
	w.counts.LastNewUnixMS = now.UnixMilli()
	if v := w.refuse(now); v != completed {
		w.mu.Unlock()
		return v
	}
	collapse := w.collapse
	if w.executing < w.limit() {
		w.executing++
		w.note()
		w.mu.Unlock()
	} else {
		slot := make(chan struct{})
		w.waiting = append(w.waiting, slot)
		w.note()
		w.mu.Unlock()
		if v := w.wait(ctx, slot, collapse); v != completed {
			return v
		}
	}
	return w.execute(ctx, collapse, started)
}

// refuse returns completed if the request may wait for a slot.
func (w *work) refuse(now time.Time) verdict {
	b := w.behaviour
	full := w.executing >= w.limit()
	switch {
	case b.Drain, full && b.ShedBeyond, w.chance(b.ShedPercent):
		return shed
	case now.Before(w.collapsed), b.FailStatus != 0 && (b.FailPercent == 0 || w.chance(b.FailPercent)):
		return failed
	case full && b.CollapseMS > 0:
		w.collapsed = now.Add(millis(b.CollapseMS))
		w.counts.Collapses++
		close(w.collapse)
		w.collapse = make(chan struct{})
		return failed
	}
	return completed
}

func (w *work) wait(ctx context.Context, slot, collapse chan struct{}) verdict {
	v := completed
	select {
	case <-slot:
		return v
	case <-collapse:
		v = failed
	case <-ctx.Done():
		v = cancelled
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range w.waiting {
		if s == slot {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return v
		}
	}
	w.release() // the slot arrived meanwhile
	return v
}

func (w *work) execute(ctx context.Context, collapse chan struct{}, started func()) verdict {
	w.mu.Lock()
	w.counts.Executed++
	duration := w.duration(time.Now())
	w.mu.Unlock()
	started()
	v := sleep(ctx, collapse, duration)
	w.mu.Lock()
	defer w.mu.Unlock()
	if v == completed {
		w.warmth++ // before the release, because it may add a slot
	}
	w.release()
	return v
}

func (w *work) release() {
	w.executing--
	w.fill()
}

// fill starts as many waiters as there are free slots.
func (w *work) fill() {
	for len(w.waiting) > 0 && w.executing < w.limit() {
		close(w.waiting[0])
		w.waiting = w.waiting[1:]
		w.executing++
		w.note()
	}
}

func (w *work) note() {
	present := w.executing + len(w.waiting)
	w.counts.MostExecuting = max(w.counts.MostExecuting, w.executing)
	w.counts.MostAtOnce = max(w.counts.MostAtOnce, present)
	if w.cold() {
		w.counts.MostAtOnceCold = max(w.counts.MostAtOnceCold, present)
		w.counts.MostBeyondCold = max(w.counts.MostBeyondCold, present-w.limit())
	}
}

func (w *work) chance(percent float64) bool {
	return percent > 0 && w.random.Float64()*100 < percent
}

// sleep waits for d, the end of ctx, or a closed abort channel.
func sleep(ctx context.Context, abort <-chan struct{}, d time.Duration) verdict {
	if d <= 0 {
		return completed
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return completed
	case <-abort:
		return failed
	case <-ctx.Done():
		return cancelled
	}
}
