package standin

import "sync"

// ExecutionRecorder counts the executions of each request id and idempotency key on all upstreams of a process. A simulated
// crash of an upstream does not reset the counts. It is safe for concurrent use.
type ExecutionRecorder struct {
	mu    sync.Mutex
	byID  map[string]int
	byKey map[string]int
}

// Executions holds the counts of an ExecutionRecorder.
type Executions struct {
	ByRequestID map[string]int `json:"by_request_id"`
	ByKey       map[string]int `json:"by_idempotency_key"`
}

// NewExecutionRecorder returns an empty recorder.
func NewExecutionRecorder() *ExecutionRecorder {
	return &ExecutionRecorder{byID: map[string]int{}, byKey: map[string]int{}}
}

// add counts one execution. An empty id or key is not counted.
func (r *ExecutionRecorder) add(id, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != "" {
		r.byID[id]++
	}
	if key != "" {
		r.byKey[key]++
	}
}

// Executions returns the ids and keys that were executed at least minimum times: 1 selects all, 2 the duplicated ones.
func (r *ExecutionRecorder) Executions(minimum int) Executions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Executions{atLeast(r.byID, minimum), atLeast(r.byKey, minimum)}
}

func (r *ExecutionRecorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.byID)
	clear(r.byKey)
}

func atLeast(counts map[string]int, minimum int) map[string]int {
	result := map[string]int{}
	for name, n := range counts {
		if n >= minimum {
			result[name] = n
		}
	}
	return result
}
