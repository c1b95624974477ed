package bodybuffer

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SegmentBytes is the size of a segment.
	SegmentBytes = 64 << 10
	// trimInterval is the period after which segments that were not needed meanwhile are given to the garbage collector.
	trimInterval = time.Second
)

// Pool keeps the segments of bodies that have ended. Its methods are safe for concurrent use, and the zero value is empty.
type Pool struct {
	freeBytes atomic.Int64

	mu    sync.Mutex
	free  [][]byte
	least int         // smallest number of free segments since the last trim
	timer *time.Timer // of the next trim; nil while there are no free segments
}

// FreeBytes returns the size of the segments that no body uses.
func (p *Pool) FreeBytes() int64 { return p.freeBytes.Load() }

// Shrink gives free segments to the garbage collector until at most n bytes are free.
func (p *Pool) Shrink(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(len(p.free) - int(max(n, 0)/SegmentBytes))
}

func (p *Pool) get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.free) - 1
	if last < 0 {
		return make([]byte, SegmentBytes)
	}
	segment := p.free[last]
	p.drop(1)
	return segment
}

func (p *Pool) put(segments [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, segment := range segments {
		if cap(segment) == SegmentBytes {
			p.free = append(p.free, segment[:SegmentBytes])
			p.freeBytes.Add(SegmentBytes)
		}
	}
	if p.timer == nil && len(p.free) > 0 {
		p.least = 0
		p.timer = time.AfterFunc(trimInterval, p.trim)
	}
}

// drop removes the last n free segments. The caller holds mu.
func (p *Pool) drop(n int) {
	if n <= 0 {
		return
	}
	rest := len(p.free) - n
	clear(p.free[rest:])
	p.free = p.free[:rest]
	p.freeBytes.Add(int64(-n) * SegmentBytes)
	p.least = min(p.least, rest)
}

func (p *Pool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(p.least)
	p.least, p.timer = len(p.free), nil
	if p.least > 0 {
		p.timer = time.AfterFunc(trimInterval, p.trim)
	}
}
