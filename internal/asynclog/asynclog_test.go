package asynclog

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks until release is closed, like a standard output whose reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against logging that blocks a request because the output is not read.
func TestSinkNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		s := NewSink(blockedWriter{release})
		start := time.Now()
		for range 10 * queueLines {
			_, err := s.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.Equal(time.Since(start), time.Duration(0)) // on the fake clock, which advances only while all goroutines are blocked
		is.True(s.dropped.Load() >= 9*queueLines-1)
		s.Close(time.Second)
		is.Equal(time.Since(start), time.Second) // Close does not wait longer than its limit
		close(release)
	})
}

// Guards against lines that are dropped without a report, and against lines that are lost on Close.
func TestSinkReportsDroppedLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := NewSink(&out)
	for range 3 {
		_, err := io.WriteString(s, "line\n")
		is.NoErr(err)
	}
	s.CountDropped()
	s.Close(time.Minute)
	is.Equal(strings.Count(out.String(), "line\n"), 3)
	is.True(strings.Contains(out.String(), `"msg":"lines left out","lines":1`))
}

// Guards against flooding the log under load, and against processes that sample different requests, so that the log
// lines about one request are incomplete.
func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var a, b Budget
	both, allowed := 0, 0
	for i := range 10_000 {
		id := strconv.Itoa(i)
		inA, inB := a.Allow(id, now), b.Allow(id, now)
		if inA {
			allowed++
		}
		if inA && inB {
			both++
		}
	}
	is.Equal(allowed, MaxLinesPerSecond)
	is.Equal(both, allowed)
	is.True(a.Allow("x", now.Add(time.Second))) // in the next second
}

// Guards against a queue of long lines that takes more memory than its capacity while the output is not read.
func TestQueueIsLimitedInBytes(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := NewSink(blockedWriter{release})
	const lines = 100
	line := bytes.Repeat([]byte("x"), queueBytes/10)
	for range lines {
		_, err := s.Write(line)
		is.NoErr(err)
	}
	is.True(s.queued.Load() <= queueBytes)
	is.Equal(s.dropped.Load(), int64(lines-10))
	close(release)
	s.Close(time.Minute)
	is.Equal(s.queued.Load(), int64(0))
}

// Guards against log lines whose length clients decide.
func TestAbbreviate(t *testing.T) {
	is := is.New(t)
	is.Equal(Abbreviate("9c41d07be2a35f68"), "9c41d07be2a35f68")
	is.Equal(Abbreviate(strings.Repeat("\xff", 60000)), strings.Repeat("\xff", MaxValueBytes)+"... (60000 bytes)")
}
