package wal

import (
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/vfs"
)

// Open opens the log in dir, creates the directory if it does not exist, and returns the stored state. The returned
// state is durable, even if a process wrote parts of it and was killed before it synced them.
func Open(fsys vfs.FS, dir string, opts Options) (*Log, replog.RestoredState, error) {
	l := &Log{fs: fsys, dir: dir, opts: opts.withDefaults()}
	restored, err := l.recover()
	if err != nil {
		if l.file != nil {
			err = errors.Join(err, l.file.Close())
		}
		return nil, replog.RestoredState{}, err
	}
	return l, restored, nil
}

func (l *Log) recover() (replog.RestoredState, error) {
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return replog.RestoredState{}, err
	}
	names, err := l.fs.List(l.dir)
	if err != nil {
		return replog.RestoredState{}, err
	}
	files := classifyFiles(names)
	last, err := l.findLastSegment(&files)
	if err != nil {
		return replog.RestoredState{}, err
	}
	if last == nil {
		if err := l.removeUnusedFiles(files, segmentHeader{}); err != nil {
			return replog.RestoredState{}, err
		}
		return replog.RestoredState{}, l.startSegment(0)
	}
	return l.restore(files, last)
}

// findLastSegment returns the last segment with a complete header, or nil if the log is new. A last segment whose
// header was never synced contains no acknowledged data, so it is added to files.temps, which removeUnusedFiles
// removes.
func (l *Log) findLastSegment(files *dirFiles) (*segmentFile, error) {
	for dropped := false; len(files.segments) > 0; dropped = true {
		number := files.segments[len(files.segments)-1]
		last, err := l.readSegment(number)
		if err == nil {
			return last, nil
		}
		if dropped || !errors.Is(err, errTornHeader) {
			return nil, err
		}
		if number > 1 && (len(files.segments) == 1 || files.segments[len(files.segments)-2] != number-1) {
			return nil, &CorruptError{File: l.segmentPath(number - 1), Reason: "segment missing"}
		}
		files.segments = files.segments[:len(files.segments)-1]
		files.temps = append(files.temps, filepath.Base(l.segmentPath(number)))
	}
	if len(files.snapshots) > 0 {
		return nil, &CorruptError{File: l.segmentPath(1), Reason: "segment missing although a snapshot exists"}
	}
	return nil, nil
}

// restore replays the segments that the header of the last one refers to and prepares the log for writing.
func (l *Log) restore(files dirFiles, last *segmentFile) (replog.RestoredState, error) {
	var snapshot replog.Snapshot
	var err error
	if last.header.Snapshot.Index > 0 {
		if snapshot, err = l.readSnapshot(last.header.Snapshot); err != nil {
			return replog.RestoredState{}, err
		}
	}
	r := replay{log: l}
	for number := last.header.FirstSegment; number < last.number; number++ {
		file, err := l.readSegment(number)
		if err != nil {
			return replog.RestoredState{}, err
		}
		if err := r.replaySegment(file, false); err != nil {
			return replog.RestoredState{}, err
		}
	}
	if err := r.replaySegment(last, true); err != nil {
		return replog.RestoredState{}, err
	}
	entries, err := r.finish(last)
	if err != nil {
		return replog.RestoredState{}, err
	}
	if err := l.rewriteLastSegment(last, r.end); err != nil {
		return replog.RestoredState{}, err
	}
	if err := l.removeUnusedFiles(files, last.header); err != nil {
		return replog.RestoredState{}, err
	}
	return replog.RestoredState{HardState: l.hardState, Snapshot: snapshot, Entries: entries}, nil
}

// rewriteLastSegment replaces the last segment with a synced copy of its valid records. If an fsync failed in an
// earlier process, the page cache may hold bytes that are not on disk and that another fsync of the same file would not
// write.
func (l *Log) rewriteLastSegment(last *segmentFile, end int) error {
	path := l.segmentPath(last.number)
	if err := removeIfExists(l.fs, path+tempSuffix); err != nil {
		return err
	}
	file, err := l.createSynced(path+tempSuffix, last.data[:end])
	if err != nil {
		return err
	}
	l.file, l.size = file, int64(end)
	if err := l.fs.Rename(path+tempSuffix, path); err != nil {
		return err
	}
	return l.syncDir()
}

// removeUnusedFiles removes temporary files, and segments and snapshots that the header does not refer to. A snapshot
// that is newer than the one in the header was never acknowledged.
func (l *Log) removeUnusedFiles(files dirFiles, header segmentHeader) error {
	paths := make([]string, 0, len(files.temps))
	for _, name := range files.temps {
		paths = append(paths, filepath.Join(l.dir, name))
	}
	for _, number := range files.segments {
		if number < header.FirstSegment {
			paths = append(paths, l.segmentPath(number))
		}
	}
	for _, index := range files.snapshots {
		if index != header.Snapshot.Index {
			paths = append(paths, l.snapshotPath(index))
		}
	}
	for _, path := range paths {
		if err := removeIfExists(l.fs, path); err != nil {
			return err
		}
	}
	return nil
}

func removeIfExists(fsys vfs.FS, path string) error {
	if err := fsys.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// corruptIfMissing returns a CorruptError if err says that a required file does not exist, and err otherwise.
func corruptIfMissing(err error, path string) error {
	if errors.Is(err, fs.ErrNotExist) {
		return &CorruptError{File: path, Reason: "file missing"}
	}
	return err
}
