// Package vfs defines the file system interface through which durable state is written. It distinguishes two
// guarantees: file contents are durable only after File.Sync, and the creation, renaming or removal of a file is
// durable only after FS.SyncDir of its directory.
package vfs

import "io"

// FS is a file system. Names are paths with the separators of the operating system. Errors match the errors of io/fs
// with errors.Is, such as fs.ErrNotExist.
type FS interface {
	// MkdirAll creates a directory and its missing parents. It syncs the parents, so that the directory survives a
	// crash.
	MkdirAll(dir string) error
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Create creates a file for writing and fails with fs.ErrExist if the name is taken.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Truncate shortens a file to size bytes. The change is durable only after the file is synced.
	Truncate(name string, size int64) error
	// Rename renames a file and replaces any existing file with the new name.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the sorted names of the files in a directory, without the path of the directory.
	List(dir string) ([]string, error)
	// SyncDir makes the names of the files in a directory durable.
	SyncDir(dir string) error
}

// File is a file open for writing at its end.
type File interface {
	io.WriteCloser
	// Sync makes everything written so far durable. After an error, the unsynced bytes must be treated as lost, because
	// a later Sync may succeed without writing them.
	Sync() error
}

// ReadFile returns the contents of a file.
func ReadFile(fsys FS, name string) ([]byte, error) {
	file, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return data, err
}
