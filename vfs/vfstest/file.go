package vfstest

import "io/fs"

// file is a handle of a file opened for writing.
type file struct {
	fs         *FS
	node       *inode
	generation int
	closed     bool
}

// Write appends p. An injected fault writes the first half of p.
func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return 0, err
	}
	if f.fs.full {
		f.node.write(p[:len(p)/2])
		return len(p) / 2, noSpace("write", "")
	}
	if f.fs.writes.expired() {
		f.node.write(p[:len(p)/2])
		return len(p) / 2, ErrInjected
	}
	f.node.write(p)
	return len(p), nil
}

// Sync makes the contents durable. After an injected fault, later calls do not write the lost bytes either.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return err
	}
	if f.fs.syncs.expired() {
		f.node.failSync()
		return ErrInjected
	}
	f.node.sync()
	return nil
}

// Close closes the handle without syncing the file.
func (f *file) Close() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.closed {
		return fs.ErrClosed
	}
	f.closed = true
	return nil
}

func (f *file) beginOp() error {
	if f.closed {
		return fs.ErrClosed
	}
	if f.generation != f.fs.generation {
		return ErrStopped
	}
	return f.fs.beginOp()
}
