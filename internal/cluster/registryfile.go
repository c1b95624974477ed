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
	// saveInterval bounds how often the registry is saved.
	saveInterval = 500 * time.Millisecond
)

// persistRegistry loads the upstreams saved by the previous process and saves them when they change, until ctx ends.
// Without it, a deployment that restarts as a whole would have no upstreams until each has announced itself again. The
// loaded entries may be out of date by saveInterval. That is acceptable: a draining upstream reports this in its health
// response, and an upstream that took over another's address rejects requests that name the other.
func (c *Cluster) persistRegistry(ctx context.Context, fsys vfs.FS) {
	entries, err := loadRegistry(fsys, c.cfg.DataDir)
	if err != nil {
		c.log.Warn("failed to load the saved upstreams", zap.Error(err))
	}
	c.merge(entries...)
	saved := c.registry.Revision()
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		revision := c.registry.Revision()
		if revision == saved {
			continue
		}
		if err := saveRegistry(fsys, c.cfg.DataDir, c.registry.All(time.Now())); err != nil {
			c.log.Warn("failed to save the upstreams", zap.Error(err))
			continue
		}
		saved = revision
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
