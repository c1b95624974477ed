// Package vfstest provides an in-memory file system for tests of durable state. A simulated crash loses the unsynced
// contents of files and the unsynced names in directories. Faults can be injected at any operation.
package vfstest

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"sort"
	"sync"
	"syscall"

	"github.com/bramleypick/bramleypick/vfs"
)

// Errors that operations return because of injected faults.
var (
	ErrInjected = errors.New("vfstest: injected fault")
	ErrStopped  = errors.New("vfstest: file system stopped")
)

// FS is an in-memory file system. It is safe for concurrent use. Directories exist implicitly.
type FS struct {
	mu         sync.Mutex
	names      map[string]*inode // files by name as seen by a running process
	durable    map[string]*inode // files by name as they are after a crash
	unsyncable map[string]bool   // names whose change was lost by a failed SyncDir
	ops        int               // mutating operations so far
	stopAt     int               // number of operations allowed, or 0 for no limit
	full       bool              // see SetFull
	syncs      countdown
	writes     countdown
	generation int // number of crashes and restarts; handles of an earlier generation are unusable
}

var _ vfs.FS = (*FS)(nil)

// New returns an empty file system.
func New() *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}, unsyncable: map[string]bool{}}
}

// beginOp counts one mutating operation and fails if the file system has stopped.
func (f *FS) beginOp() error {
	if f.stopAt > 0 && f.ops >= f.stopAt {
		return ErrStopped
	}
	f.ops++
	return nil
}

// MkdirAll does nothing, because directories exist implicitly and are durable.
func (f *FS) MkdirAll(string) error { return nil }

// Open opens a file for reading.
func (f *FS) Open(name string) (io.ReadCloser, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node, ok := f.names[filepath.Clean(name)]
	if !ok {
		return nil, notExist("open", name)
	}
	return io.NopCloser(bytes.NewReader(bytes.Clone(node.data))), nil
}

// Create creates an empty file.
func (f *FS) Create(name string) (vfs.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name = filepath.Clean(name)
	if f.names[name] != nil {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	if f.full {
		return nil, noSpace("create", name)
	}
	if err := f.beginOp(); err != nil {
		return nil, err
	}
	node := &inode{}
	f.setName(name, node)
	return &file{fs: f, node: node, generation: f.generation}, nil
}

// Append opens an existing file for writing at its end.
func (f *FS) Append(name string) (vfs.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node, ok := f.names[filepath.Clean(name)]
	if !ok {
		return nil, notExist("append", name)
	}
	return &file{fs: f, node: node, generation: f.generation}, nil
}

// Truncate shortens a file to size bytes.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	node, ok := f.names[filepath.Clean(name)]
	if !ok {
		return notExist("truncate", name)
	}
	if size < 0 || size > int64(len(node.data)) {
		return &fs.PathError{Op: "truncate", Path: name, Err: fs.ErrInvalid}
	}
	if err := f.beginOp(); err != nil {
		return err
	}
	node.truncate(int(size))
	return nil
}

// Rename renames a file and replaces any existing file with the new name.
func (f *FS) Rename(oldName, newName string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldName, newName = filepath.Clean(oldName), filepath.Clean(newName)
	node, ok := f.names[oldName]
	if !ok {
		return notExist("rename", oldName)
	}
	if err := f.beginOp(); err != nil {
		return err
	}
	f.setName(oldName, nil)
	f.setName(newName, node)
	return nil
}

// Remove deletes a file.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	name = filepath.Clean(name)
	if f.names[name] == nil {
		return notExist("remove", name)
	}
	if err := f.beginOp(); err != nil {
		return err
	}
	f.setName(name, nil)
	return nil
}

// List returns the sorted names of the files in a directory.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir makes the names of the files in a directory durable. A name whose change was lost by an earlier failed
// SyncDir remains as it was on disk until it changes again.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return err
	}
	failed := f.syncs.expired()
	for name := range f.changedNames(filepath.Clean(dir)) {
		switch {
		case failed:
			f.unsyncable[name] = true
		case !f.unsyncable[name]:
			setOrDelete(f.durable, name, f.names[name])
		}
	}
	if failed {
		return ErrInjected
	}
	return nil
}

// changedNames returns the names in dir that differ between names and durable.
func (f *FS) changedNames(dir string) map[string]bool {
	changed := map[string]bool{}
	for name, node := range f.names {
		if f.durable[name] != node {
			changed[name] = true
		}
	}
	for name, node := range f.durable {
		if f.names[name] != node {
			changed[name] = true
		}
	}
	for name := range changed {
		if filepath.Dir(name) != dir {
			delete(changed, name)
		}
	}
	return changed
}

func (f *FS) setName(name string, node *inode) {
	delete(f.unsyncable, name)
	setOrDelete(f.names, name, node)
}

func setOrDelete(names map[string]*inode, name string, node *inode) {
	if node == nil {
		delete(names, name)
		return
	}
	names[name] = node
}

func noSpace(op, name string) error {
	return &fs.PathError{Op: op, Path: name, Err: syscall.ENOSPC}
}

func notExist(op, name string) error {
	return &fs.PathError{Op: op, Path: name, Err: fs.ErrNotExist}
}
