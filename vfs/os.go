package vfs

import (
	"io"
	"os"
	"path/filepath"
	"sort"
)

// Modes of created files and directories. Only the owner may access durable state.
const (
	fileMode = 0o600
	dirMode  = 0o700
)

// OS is the FS of the operating system.
type OS struct{}

var _ FS = OS{}

// MkdirAll creates a directory and its missing parents. It syncs the parent even if the directory exists, because an
// earlier process may have been killed after it created the directory and before it synced the parent.
func (o OS) MkdirAll(dir string) error {
	dir = filepath.Clean(dir)
	parent := filepath.Dir(dir)
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		if parent != dir {
			if err := o.MkdirAll(parent); err != nil {
				return err
			}
		}
		if err := os.Mkdir(dir, dirMode); err != nil {
			return err
		}
	}
	return o.SyncDir(parent)
}

// Open opens a file for reading.
func (OS) Open(name string) (io.ReadCloser, error) {
	return os.Open(name)
}

// Create creates a file for writing and fails if it exists.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, fileMode)
}

// Append opens an existing file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate shortens a file to size bytes.
func (OS) Truncate(name string, size int64) error {
	return os.Truncate(name, size)
}

// Rename renames a file and replaces any existing file with the new name.
func (OS) Rename(oldName, newName string) error {
	return os.Rename(oldName, newName)
}

// Remove deletes a file.
func (OS) Remove(name string) error {
	return os.Remove(name)
}

// List returns the sorted names of the regular files in a directory.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir makes the names of the files in a directory durable.
func (OS) SyncDir(dir string) error {
	handle, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = handle.Sync()
	if closeErr := handle.Close(); err == nil {
		err = closeErr
	}
	return err
}
