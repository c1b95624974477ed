package cluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/registry"
	"github.com/bramleypick/bramleypick/vfs"
)

// Guards against the acknowledgement of a drain or a deregistration that is not on the disks of a majority of the voters.
func TestDepartureIsAcknowledgedOnlyOnceSaved(t *testing.T) {
	for _, state := range []registry.State{registry.Draining, registry.Gone} {
		t.Run(state.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			all := startDeployment(t, 3, 1)
			eventually(t, "every replica votes", func() bool { return voterCount(all[0]) == 3 && voterCount(all[1]) == 3 && voterCount(all[2]) == 3 })
			announce := func(state registry.State) error {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				return all[3].Announce(ctx, registry.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z", State: state, Incarnation: 1, Seq: 1})
			}
			eventually(t, "the upstream is announced", func() bool { return announce(registry.Ready) == nil })
			for _, p := range all[1:3] { // a directory that is not empty in the place of the temporary file
				is.NoErr(os.MkdirAll(filepath.Join(p.cfg.DataDir, registryTempFile, "x"), 0o700))
			}
			is.True(announce(state) != nil)
			is.NoErr(os.RemoveAll(filepath.Join(all[1].cfg.DataDir, registryTempFile)))
			eventually(t, "the departure is acknowledged", func() bool { return announce(state) == nil })
			saved := 0
			for _, p := range all[:3] {
				entries, err := loadRegistry(vfs.OS{}, p.cfg.DataDir)
				is.NoErr(err)
				if len(entries) == 1 && entries[0].State == state {
					saved++
				}
			}
			is.True(saved >= 2)
		})
	}
}

// Guards against the acknowledgement of a departure that arrives before the saved upstreams are loaded and that is not saved.
func TestDepartureBeforeLoadIsSaved(t *testing.T) {
	is := is.New(t)
	entry := func(id string, state registry.State) registry.Entry {
		return registry.Entry{ID: id, Service: "s", Zone: "z", State: state, Incarnation: 1, Seq: 1}
	}
	c := newUnconnectedCluster(Config{DataDir: t.TempDir()})
	is.NoErr(saveRegistry(vfs.OS{}, c.cfg.DataDir, []registry.Entry{entry("a", registry.Ready)}))
	c.merge(entry("b", registry.Draining))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.persistRegistry(ctx, vfs.OS{})
	}()
	is.NoErr(c.awaitSaved(ctx))
	cancel()
	<-done
	saved, err := loadRegistry(vfs.OS{}, c.cfg.DataDir)
	is.NoErr(err)
	is.Equal(len(saved), 2)
}

// BenchmarkSaveRegistry saves the upstreams of a region at the target size; see docs/CAPACITY.md.
func BenchmarkSaveRegistry(b *testing.B) {
	entries := make([]registry.Entry, 1727)
	for i := range entries {
		entries[i] = registry.Entry{
			ID: fmt.Sprintf("i-%08x", i), Service: fmt.Sprintf("service%d", i%191), Address: fmt.Sprintf("10.%d.%d.9:8080", i/250, i%250),
			Zone: "jackson", Version: "v1", Slots: 6, State: registry.Ready, Incarnation: 1796481762716 + int64(i), Seq: uint64(i),
		}
	}
	dir := b.TempDir()
	for b.Loop() {
		if err := saveRegistry(vfs.OS{}, dir, entries); err != nil {
			b.Fatal(err)
		}
	}
}
