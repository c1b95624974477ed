package cluster

import (
	"context"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/vfs"
)

const (
	registryFile     = "upstreams"
	registryTempFile = "upstreams.new"
	// saveInterval is the time after which changes of the registry are saved.
	saveInterval = 500 * time.Millisecond
	// minSaveInterval bounds how often the registry is saved when upstreams drain or end. All changes in between are saved
	// together: when a zone is emptied, its upstreams drain within seconds.
	minSaveInterval = 50 * time.Millisecond
	// maxSaveRequests bounds the queue of drains and deregistrations that wait to be saved.
	maxSaveRequests = 256
)

// persistRegistry loads the upstreams saved by the previous process and saves them when they change, until ctx ends.
// Without it, a deployment that restarts as a whole would have no upstreams until each has announced itself again. Drains
// and deregistrations are saved before they are acknowledged, because the upstream may not repeat them. Other changes are
// saved within saveInterval.
func (c *Cluster) persistRegistry(ctx context.Context, fsys vfs.FS) {
	entries, err := loadRegistry(fsys, c.cfg.DataDir)
	if err != nil {
		c.log.Warn("failed to load the saved upstreams", zap.Error(err))
	}
	c.merge(entries...)
	saved := uint64(0) // announcements may have arrived before the file was loaded
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		var waiting []chan<- error
		select {
		case <-ticker.C:
		case request := <-c.saveRequests:
			waiting = append(waiting, request)
		case <-ctx.Done():
			return
		}
		for range len(c.saveRequests) {
			waiting = append(waiting, <-c.saveRequests)
		}
		var err error
		if revision := c.registry.Revision(); revision != saved { // read before the entries
			if err = saveRegistry(fsys, c.cfg.DataDir, c.registry.All(time.Now())); err == nil {
				saved = revision
			} else {
				c.log.Warn("failed to save the upstreams", zap.Int("waiting", len(waiting)), zap.Error(err))
			}
		}
		for _, request := range waiting {
			request <- err
		}
		if len(waiting) > 0 {
			select {
			case <-time.After(minSaveInterval):
			case <-ctx.Done():
				return
			}
		}
	}
}

// awaitSaved returns nil once all changes of the registry before the call are on this process's disk.
func (c *Cluster) awaitSaved(ctx context.Context) error {
	saved := make(chan error, 1)
	select {
	case c.saveRequests <- saved:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "queue the upstreams to be saved")
	}
	select {
	case err := <-saved:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "save the upstreams")
	}
}

func loadRegistry(fsys vfs.FS, dir string) ([]registry.Entry, error) {
	data, err := vfs.ReadFile(fsys, filepath.Join(dir, registryFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the saved upstreams")
	}
	var entries []registry.Entry
	return entries, decode(data, &entries)
}

func saveRegistry(fsys vfs.FS, dir string, entries []registry.Entry) error {
	data, err := encode(entries)
	if err != nil {
		return err
	}
	name := filepath.Join(dir, registryTempFile)
	if err := fsys.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Wrap(err, "remove the previous temporary file")
	}
	if err := writeFile(fsys, name, data); err != nil {
		return errors.Wrap(err, "write the temporary file")
	}
	if err := fsys.Rename(name, filepath.Join(dir, registryFile)); err != nil {
		return errors.Wrap(err, "rename the temporary file")
	}
	return errors.Wrap(fsys.SyncDir(dir), "sync the data directory")
}

// writeFile creates a file and syncs its contents. The directory entry is durable only after SyncDir.
func writeFile(fsys vfs.FS, name string, data []byte) error {
	file, err := fsys.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
