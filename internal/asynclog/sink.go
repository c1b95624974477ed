// Package asynclog prevents logging from delaying requests. A Sink passes lines through a bounded queue to one writer, and
// drops and counts lines while the queue is full or the output fails. A Budget decides which lines about successful requests
// are written; a line that it does not allow is counted only if the caller calls Sink.CountDropped for it.
package asynclog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the capacity of the queue in lines. At 300 bytes each they take 150 KB.
	queueLines = 512
	// queueBytes is the capacity of the queue in bytes, since callers decide how long some lines are.
	queueBytes = 512 << 10
	// reportInterval is the period at which the number of dropped lines is logged.
	reportInterval = time.Second
)

// Sink is a zapcore.WriteSyncer that never blocks. Each call of Write must pass one whole line. Its methods are safe for
// concurrent use, but Close may be called only once. Lines that are written after Close are lost.
type Sink struct {
	out     io.Writer
	queue   chan []byte
	queued  atomic.Int64 // bytes in queue and of the line that is being written
	dropped atomic.Int64
	closed  chan struct{}
	done    sync.WaitGroup
}

// NewSink returns a Sink that writes to out, and starts its writer.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, queueLines), closed: make(chan struct{})}
	s.done.Go(s.run)
	return s
}

// Write queues a line, or drops and counts it if the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	if s.queued.Add(int64(len(line))) > queueBytes {
		s.drop(line)
		return len(line), nil
	}
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.drop(line)
	}
	return len(line), nil
}

func (s *Sink) drop(line []byte) {
	s.queued.Add(-int64(len(line)))
	s.dropped.Add(1)
}

// Sync implements zapcore.WriteSyncer. It does not wait, because the reader of the log may have stopped reading.
func (s *Sink) Sync() error { return nil }

// CountDropped counts a line that was dropped before it reached the Sink, so that the Sink's report includes it.
func (s *Sink) CountDropped() { s.dropped.Add(1) }

// Close stops the writer after it has written the queued lines. It waits for at most limit.
func (s *Sink) Close(limit time.Duration) {
	close(s.closed)
	written := make(chan struct{})
	go func() {
		s.done.Wait()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(limit):
	}
}

func (s *Sink) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.queue:
			s.write(line)
		case <-ticker.C:
			s.report()
		case <-s.closed:
			s.drain()
			return
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue:
			s.write(line)
		default:
			s.report()
			return
		}
	}
}

// write writes a line to the output. An error cannot be logged, so the line is counted as dropped.
func (s *Sink) write(line []byte) {
	defer s.queued.Add(-int64(len(line)))
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

func (s *Sink) report() {
	if n := s.dropped.Swap(0); n > 0 {
		line := `{"level":"warn","ts":` + strconv.FormatFloat(float64(time.Now().UnixMilli())/1000, 'f', 3, 64) +
			`,"logger":"log","msg":"lines left out","lines":` + strconv.FormatInt(n, 10) + "}\n"
		if _, err := s.out.Write([]byte(line)); err != nil {
			s.dropped.Add(n)
		}
	}
}
