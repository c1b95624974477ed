package wal

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/vfs"
)

const benchDataBytes = 200

func benchEntries(first uint64, count int) []replog.Entry {
	entries := make([]replog.Entry, count)
	for i := range entries {
		entries[i] = replog.Entry{Index: first + uint64(i), Term: 1, Data: bytes.Repeat([]byte{7}, benchDataBytes)}
	}
	return entries
}

func BenchmarkSave(b *testing.B) {
	for _, count := range []int{1, 64} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			l, _, err := Open(vfs.OS{}, b.TempDir(), Options{})
			if err != nil {
				b.Fatal(err)
			}
			next := uint64(1)
			for b.Loop() {
				if err := l.Save(nil, benchEntries(next, count)); err != nil {
					b.Fatal(err)
				}
				next += uint64(count)
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// BenchmarkOpen measures recovery after 1,000 Saves of one entry.
func BenchmarkOpen(b *testing.B) {
	for _, withSnapshot := range []bool{false, true} {
		b.Run(fmt.Sprintf("snapshot=%v", withSnapshot), func(b *testing.B) {
			dir := b.TempDir()
			l, _, err := Open(vfs.OS{}, dir, Options{})
			for index := uint64(1); index <= 1000 && err == nil; index++ {
				err = l.Save(&replog.HardState{Term: 1, Commit: index}, benchEntries(index, 1))
			}
			if err == nil && withSnapshot {
				err = l.SaveSnapshot(replog.Snapshot{Index: 1000, Term: 1, Data: make([]byte, 1000*benchDataBytes)})
			}
			if err == nil {
				err = l.Close()
			}
			for b.Loop() && err == nil {
				if l, _, err = Open(vfs.OS{}, dir, Options{}); err == nil {
					err = l.Close()
				}
			}
			if err != nil {
				b.Fatal(err)
			}
		})
	}
}
