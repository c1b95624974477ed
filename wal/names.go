package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// Suffixes of the files in a log's directory.
const (
	segmentSuffix  = ".log"
	snapshotSuffix = ".snapshot"
	tempSuffix     = ".tmp"
)

// dirFiles is what a log's directory contains. Files with other names are left alone.
type dirFiles struct {
	segments  []uint64 // ascending
	snapshots []uint64 // ascending, by index
	temps     []string
}

func classifyFiles(names []string) dirFiles {
	var inv dirFiles
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			inv.temps = append(inv.temps, name)
		} else if number, ok := parseName(name, segmentSuffix); ok {
			inv.segments = append(inv.segments, number)
		} else if number, ok := parseName(name, snapshotSuffix); ok {
			inv.snapshots = append(inv.snapshots, number)
		}
	}
	return inv
}

func parseName(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// numberedName has 16 hexadecimal digits, so that the order of names is the order of numbers.
func numberedName(number uint64, suffix string) string {
	return fmt.Sprintf("%016x%s", number, suffix)
}

func (l *Log) segmentPath(segment uint64) string {
	return filepath.Join(l.dir, numberedName(segment, segmentSuffix))
}

func (l *Log) snapshotPath(index uint64) string {
	return filepath.Join(l.dir, numberedName(index, snapshotSuffix))
}
