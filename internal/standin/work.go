package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// outcome is the result of the simulated work of one request.
type outcome int

const (
	completed outcome = iota
	shed              // rejected without execution
	failed            // failed immediately or by a collapse
	cancelled         // the client disconnected or its deadline passed
)

// workSimulator simulates the slots of one upstream.
type workSimulator struct {
	mu        sync.Mutex
	behaviour Behaviour
	slots     int
	random    *rand.Rand

	executing          int
	queue              []chan struct{} // FIFO queue; a channel is closed when its request gets a slot
	completedSinceCold int             // requests completed since the last cold start began
	failUntil          time.Time       // end of the current collapse, during which all requests fail
	collapse           chan struct{}   // closed at the start of the next collapse, which aborts all admitted requests

	straggling bool
	nextToggle time.Time // when straggling changes next; zero before the first request

	counts workCounts
}

// workCounts holds the counters of one upstream since its start or the last reset.
type workCounts struct {
	Arrived           int   `json:"arrived"`
	Executed          int   `json:"executed"`
	Completed         int   `json:"completed"`
	Shed              int   `json:"shed"`
	Failed            int   `json:"failed"`
	Cancelled         int   `json:"cancelled"`
	Collapses         int   `json:"collapses"`
	MaxExecuting      int   `json:"most_executing"`
	MaxConcurrent     int   `json:"most_at_once"`      // peak number of executing and queued requests
	MaxConcurrentCold int   `json:"most_at_once_cold"` // the same during cold start
	MaxOverColdLimit  int   `json:"most_beyond_cold"`  // peak excess of executing and queued requests over the limit during cold start
	LastArrivalUnixMS int64 `json:"last_new_request_unix_ms"`
	HealthRequests    int   `json:"health_requests"`
	Crashes           int   `json:"crashes"`
	ConnectionsOpen   int   `json:"connections_open"`
	MaxConnections    int   `json:"most_connections"`
}

func newWorkSimulator(slots int, b Behaviour, seed uint64) *workSimulator {
	return &workSimulator{behaviour: b, slots: slots, random: rand.New(rand.NewPCG(seed, 1)), collapse: make(chan struct{})}
}

// run admits, queues and executes one request. It calls started when the execution begins.
func (w *workSimulator) run(ctx context.Context, started func()) outcome {
	result := w.admitAndExecute(ctx, started)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch result {
	case completed:
		w.counts.Completed++
	case shed:
		w.counts.Shed++
	case failed:
		w.counts.Failed++
	case cancelled:
		w.counts.Cancelled++
	}
	return result
}

func (w *workSimulator) admitAndExecute(ctx context.Context, started func()) outcome {
	w.mu.Lock()
	now := time.Now()
	w.counts.Arrived++
	w.counts.LastArrivalUnixMS = now.UnixMilli()
	if result := w.admit(now); result != completed {
		w.mu.Unlock()
		return result
	}
	collapse := w.collapse
	if w.executing < w.limit() {
		w.executing++
		w.recordPeaks()
		w.mu.Unlock()
	} else {
		slot := make(chan struct{})
		w.queue = append(w.queue, slot)
		w.recordPeaks()
		w.mu.Unlock()
		if result := w.awaitSlot(ctx, slot, collapse); result != completed {
			return result
		}
	}
	return w.execute(ctx, collapse, started)
}

// admit returns completed if the request is admitted, that is, may use a slot or wait for one. Otherwise it returns the
// outcome of the request. It starts a collapse if Behaviour.CollapseMS is set and all slots are in use.
func (w *workSimulator) admit(now time.Time) outcome {
	b := w.behaviour
	full := w.executing >= w.limit()
	switch {
	case b.Drain, full && b.ShedBeyondSlots, w.drawLocked(b.ShedPercent):
		return shed
	case now.Before(w.failUntil), b.FailStatus != 0 && (b.FailPercent == 0 || w.drawLocked(b.FailPercent)):
		return failed
	case full && b.CollapseMS > 0:
		w.failUntil = now.Add(millis(b.CollapseMS))
		w.counts.Collapses++
		close(w.collapse)
		w.collapse = make(chan struct{})
		return failed
	}
	return completed
}

// awaitSlot waits until a queued request gets its slot, a collapse starts or ctx is done. It returns completed if the request
// got the slot first, and otherwise the outcome of the request.
func (w *workSimulator) awaitSlot(ctx context.Context, slot, collapse chan struct{}) outcome {
	result := completed
	select {
	case <-slot:
		return result
	case <-collapse:
		result = failed
	case <-ctx.Done():
		result = cancelled
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range w.queue {
		if s == slot {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			return result
		}
	}
	w.releaseSlot() // the request got its slot in the meantime
	return result
}

// execute occupies the slot of a request for its service time, unless a collapse or the end of ctx aborts it, and then
// releases the slot.
func (w *workSimulator) execute(ctx context.Context, collapse chan struct{}, started func()) outcome {
	w.mu.Lock()
	w.counts.Executed++
	duration := w.duration(time.Now())
	w.mu.Unlock()
	started()
	result := sleep(ctx, collapse, duration)
	w.mu.Lock()
	defer w.mu.Unlock()
	if result == completed {
		w.completedSinceCold++ // before the slot is released, because this may raise the limit
	}
	w.releaseSlot()
	return result
}

func (w *workSimulator) releaseSlot() {
	w.executing--
	w.fillSlots()
}

// fillSlots assigns the free slots to queued requests.
func (w *workSimulator) fillSlots() {
	for len(w.queue) > 0 && w.executing < w.limit() {
		close(w.queue[0])
		w.queue = w.queue[1:]
		w.executing++
		w.recordPeaks()
	}
}

func (w *workSimulator) recordPeaks() {
	inFlight := w.executing + len(w.queue)
	w.counts.MaxExecuting = max(w.counts.MaxExecuting, w.executing)
	w.counts.MaxConcurrent = max(w.counts.MaxConcurrent, inFlight)
	if w.cold() {
		w.counts.MaxConcurrentCold = max(w.counts.MaxConcurrentCold, inFlight)
		w.counts.MaxOverColdLimit = max(w.counts.MaxOverColdLimit, inFlight-w.limit())
	}
}

func (w *workSimulator) drawLocked(percent float64) bool {
	return percent > 0 && w.random.Float64()*100 < percent
}

// sleep waits until d has passed, ctx is done or abort is closed, and returns completed, cancelled or failed, respectively.
func sleep(ctx context.Context, abort <-chan struct{}, d time.Duration) outcome {
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
