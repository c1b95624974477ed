package vfstest

import (
	"bytes"
	"maps"
	"path/filepath"
)

// Crash defines which unsynced data survives a power loss. With the zero value, only synced data survives.
type Crash struct {
	Tear      bool // unsynced writes survive, the last one of each file only up to TearAt bytes
	TearAt    int  // number of bytes of the last unsynced write that survive
	ZeroFill  bool // with Tear, the rest of the last write reads as zeros instead of being missing
	KeepNames bool // unsynced names survive
}

// Crash simulates a power loss: it resets the file system to the data that survives and removes all faults. Open files
// become unusable.
func (f *FS) Crash(c Crash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.KeepNames {
		f.durable = maps.Clone(f.names)
	}
	for _, node := range f.durable {
		node.crash(c)
	}
	f.names = maps.Clone(f.durable)
	f.reset()
}

// Restart simulates that the process is killed while the operating system keeps running: it makes open files unusable,
// removes all faults and keeps the unsynced data.
func (f *FS) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reset()
}

func (f *FS) reset() {
	f.ops, f.stopAt, f.syncs, f.writes, f.full = 0, 0, countdown{}, countdown{}, false
	if f.unsyncable == nil {
		f.unsyncable = map[string]bool{}
	}
	for name := range f.unsyncable {
		if f.names[name] == f.durable[name] {
			delete(f.unsyncable, name)
		}
	}
	f.generation++
}

// StopAfter makes all mutating operations after the next n fail with ErrStopped.
func (f *FS) StopAfter(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops, f.stopAt = 0, n
	if n == 0 { // a stopAt of 0 would mean no limit
		f.ops, f.stopAt = 1, 1
	}
}

// FailSync makes the n-th call of Sync or SyncDir from now on fail, counting from 1. Zero removes the fault.
func (f *FS) FailSync(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncs = countdown{remaining: n}
}

// FailWrite makes the n-th write from now on fail after half of its bytes, counting from 1. Zero removes the fault.
func (f *FS) FailWrite(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes = countdown{remaining: n}
}

// SetFull makes the disk full, or ends that. While it is full, no file can be created and each write fails after half of its bytes.
func (f *FS) SetFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

// Ops returns the number of mutating operations since New, Crash, Restart or StopAfter.
func (f *FS) Ops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ops
}

// Clone returns an independent copy of the files, without faults and open files.
func (f *FS) Clone() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	copies := map[*inode]*inode{}
	cloneNames := func(names map[string]*inode) map[string]*inode {
		out := map[string]*inode{}
		for name, node := range names {
			if copies[node] == nil {
				copied := *node
				copied.data, copied.durable = bytes.Clone(node.data), bytes.Clone(node.durable)
				copied.unsyncable = append([]span(nil), node.unsyncable...)
				copies[node] = &copied
			}
			out[name] = copies[node]
		}
		return out
	}
	return &FS{names: cloneNames(f.names), durable: cloneNames(f.durable), unsyncable: maps.Clone(f.unsyncable)}
}

// Corrupt changes one byte of a file and makes the file's contents durable.
func (f *FS) Corrupt(name string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.names[filepath.Clean(name)]
	node.data[offset] ^= 0xff
	node.durable = bytes.Clone(node.data)
}

// countdown counts the calls until an injected fault. Zero means no fault.
type countdown struct{ remaining int }

// expired counts one call and reports whether it is the one that must fail.
func (c *countdown) expired() bool {
	if c.remaining == 0 {
		return false
	}
	c.remaining--
	return c.remaining == 0
}
